// A small catalogue as a template for operators. A test checks that it is valid.

/** A complete catalogue file with comments. */
export const exampleCatalogue = `# Services: what the servers run. Limits are requests in flight on one server.
services:
  letters:
    kind: model              # or plain, without model
    model: letter-writer
    coldLimit: 2             # limit of a cold server, right after its start
    warmLimit: 16            # limit of a warm server

# Servers: where the services run. Addresses are IP numbers with a port.
servers:
  letters-1:
    service: letters
    address: 127.0.0.1:9001
    vm: vm-letters-1
    dataCentre: suva
    checksFence: true        # refuses orders with an outdated fencing token

# Teams: the callers. Only hashes of keys belong here; "catkinwheel key" creates a new key.
teams:
  adoptions:
    weight: 1                # share of service relative to other teams
    keys:
      - "0000000000000000000000000000000000000000000000000000000000000000"
    limits:
      waiting: 200           # requests at one router
      waitingBytes: 10000000 # bytes at one router
      inFlight: 32           # requests per service, all routers together
    waitAlarm: 30000         # milliseconds

# Entries: the names that callers use in requests. Times are in milliseconds.
entries:
  adoption-letters:
    team: adoptions
    service: letters
    class: interactive       # or batch
    idempotent: true         # may be executed more than once
    maxWait: 30000
    maxRun: 120000
`;
