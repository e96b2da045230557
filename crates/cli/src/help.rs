//! The text of `--help`.

/// Usage, commands, flags and exit codes.
pub const HELP: &str = "mothspindlectl operates a mothspindle site through any of its nodes.

usage: mothspindlectl --node IP:PORT COMMAND [ARGUMENTS]

configuration
  config apply FILE [--id ID] [--base REVISION] [--wait]   submit a configuration; --wait until every node applies it
  config get                                        print the configuration in force (its revision goes to stderr)
  config check FILE                                 validate a configuration locally, without a node
  config convert FILE --services CONFIGURATION      convert Gateway API manifests into a configuration

evacuations
  evacuate LOCALITY [--id ID] [--wait]              take all traffic away from a locality (region/zone)
  restore LOCALITY [--id ID] [--wait]               send traffic there again

voters
  voters                                            list voters and replicas, and how far each is behind
  voters add NODE | remove NODE | replace OLD NEW   change the voters; a node must be a replica before it is added

state of the site
  site                                              summary of the whole site and its problems (exit code 1 if any)
  status | node | upstreams | reservations | tombstones | counters | ready
  lookup NAME LOCALITY                              query a directory node as a client there would
  trace ATTEMPT                                     why a request was routed as it was; asks every proxy if need be
  trace --name NAME --path PATH [--key KEY]         what a node would decide for such a request now

recovery after the permanent loss of a majority of the voters (docs/operating.md), without a node
  recovery export NODE FOLDER FILE                  save a survivor's state from its data folder; the node must be stopped
  recovery merge FILE SURVIVOR ... --lost NODE,...  merge the survivors; every voter must be given or named as lost
  recovery import FILE FOLDER                       put the merged state into an empty data folder

A change that is sent again is applied once: repeat the --id and the --since that the first call printed. --since is
the number of changes decided before this one; without --id both are generated.

--node may be given several times: the next one is tried where one can't be reached.
--help, --version

Names of earlier releases are accepted too: submit (config apply), read (config get), check (config check),
manifest (config convert), take-back (restore), marks (tombstones), survivor and testament (recovery export),
settle (recovery merge), inherit (recovery import).

exit codes: 0 success, 1 rejected, 2 invalid arguments, 3 no node reached, 4 unknown outcome (retry with the same id)";
