//! The help text.

/// What `--help` prints.
pub(crate) const TEXT: &str = "\
masticsillctl reads and changes the catalogue of a masticsill installation.

Usage: masticsillctl [OPTIONS] COMMAND

Catalogue:
  apply FILE               put the entry in FILE in force (`-` reads standard input)
  delete ID                take an entry out of force
  get ID                   show an entry in force
  list                     show every entry in force
  watch                    show changes as they come into force, until interrupted
  document                 show the catalogue as one document, where operators send it so
  endpoints                show the endpoints that registered themselves, as one instance knows them
  rollouts                 show the latest roll-out of each service
  rollouts order SERVICE TARGET
                           move a service's requests to the endpoints of version TARGET
  check FILE               check an entry's file without sending it
  explain REQUEST_ID FILE...
                           say from the relays' structured logs what became of a request
  audit                    show who changed what, when, and what became of it

Control instances:
  join-replica NEW         admit one more control instance, which runs with an empty data folder,
                           and wait until it votes
  replicas                 show the control instances
  replace-replica OLD      replace a control instance whose folder or machine was lost by one
                           that runs with an empty data folder, and wait until it is done

Operators:
  hash-token               print the hash of the token, for `token_blake3` in the settings

Options:
  --address HOST:PORT      administration API of any control instance; may be repeated, the next
                           one is tried when one does not answer (or MASTICSILL_ADDRESS, separated
                           by commas)
  --token-file FILE        file with the operator's token (or the token in MASTICSILL_TOKEN)
  --json                   print JSON for scripts
  --timeout-s N            how long a call is repeated without an answer (default 30)
  -h, --help               print this text

Options of apply and delete:
  --expected-version N     the entry's version that the change replaces, 0 when it must not exist;
                           without it, the version now in force is read first
  --change-id ID           the id of a change sent before, to learn its answer; without it, a new
                           id is made and printed

Options of rollouts order:
  --duration-s N           time within which the roll-out is to be completed or rolled back

Options of audit:
  --after N                show records after this sequence (default 0)
  --limit N                show this many at most (default 100)

Options of watch:
  --from N                 show changes after this version (default: everything in force first)
  --once                   end after the first change

Options of join-replica and replace-replica:
  --node NEW               the new instance's name (default: OLD, on a new folder)
  --replica-address A      the new instance's RPC address (default: the one in the settings)

A change is named once, before it is sent, and repeated under that name until its answer is known:
it takes effect once at most. If the tool ends with 6, run it again with the same --change-id and
--expected-version.

Exit codes:
  0  done
  1  another failure
  2  wrong usage, or a file that is not valid
  3  another change came first; read the entry and decide again
  4  refused; the message says why and what to do
  5  no control instance answered; nothing was done
  6  no answer; the change may be in force or not
";
