// Servers are taken out of service by operators, through the catalogue, and by the platform, through
// its VM list. Keepers ask one place.

import type { Vm } from '@catkinwheel/protocol';
import type { Catalogue, Clock, Milliseconds, Server, VmName } from '@catkinwheel/state';
import { isDrained } from '@catkinwheel/state';
import type { Metrics, VmList } from './ports.js';
import { withTimeout } from './withTimeout.js';

/** The VM list is asked for once in this time. */
const vmPeriod: Milliseconds = 1_000;
const vmTimeout: Milliseconds = 500;

/** Which servers are to get new work, by drains and the VM list. */
export class Serviceability {
  readonly #clock: Clock;
  readonly #list: VmList;
  readonly #metrics: Metrics;
  #states: ReadonlyMap<VmName, Vm['state']> = new Map();
  readonly #known = new Set<VmName>();

  private constructor(clock: Clock, list: VmList, metrics: Metrics) {
    this.#clock = clock;
    this.#list = list;
    this.#metrics = metrics;
  }

  static create(clock: Clock, list: VmList, metrics: Metrics): Serviceability {
    return new Serviceability(clock, list, metrics);
  }

  /** Reads the VM list until `signal` aborts; `listed` gets each new list. A missing answer keeps the last one. */
  async run(signal: AbortSignal, listed: (vms: ReadonlySet<VmName>) => void): Promise<void> {
    while (!signal.aborted) {
      await this.#read(listed);
      await this.#clock.sleep(vmPeriod, signal);
    }
  }

  /** Whether the server must get no new work. A VM that vanished from the list is on its way out. */
  isOut(catalogue: Catalogue, server: Server): boolean {
    if (isDrained(catalogue, server)) return true;
    const state = this.#states.get(server.vm);
    return state === 'leaving' || (state === undefined && this.#known.has(server.vm));
  }

  async #read(listed: (vms: ReadonlySet<VmName>) => void): Promise<void> {
    this.#metrics.count('vms.read');
    const failure = { kind: 'unavailable', detail: 'no answer in time' } as const;
    const result = await withTimeout(this.#clock, vmTimeout, this.#list.vms(), failure);
    if (result.isErr()) {
      this.#metrics.count('vms.readFailed');
      return;
    }
    this.#states = new Map(result.value.map(({ vm, state }) => [vm, state]));
    for (const { vm } of result.value) this.#known.add(vm);
    if (result.value.length > 0) listed(new Set(this.#states.keys()));
  }
}
