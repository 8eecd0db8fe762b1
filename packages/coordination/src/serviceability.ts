// Combines the two ways in which a server is taken out of service: by operators, through a drain in the
// catalogue, and by the platform, through its VM list.

import type { Vm } from '@catkinwheel/protocol';
import type { Catalogue, Clock, Milliseconds, Server, VmName } from '@catkinwheel/state';
import { isDrained } from '@catkinwheel/state';
import type { Metrics, VmList } from './ports.js';
import { withTimeout } from './withTimeout.js';

/** Interval of reading the VM list. */
const vmListInterval: Milliseconds = 1_000;
const vmListTimeout: Milliseconds = 500;

/** Decides which servers may get new work. */
export class Serviceability {
  readonly #clock: Clock;
  readonly #list: VmList;
  readonly #metrics: Metrics;
  #vmStates: ReadonlyMap<VmName, Vm['state']> = new Map();
  readonly #knownVms = new Set<VmName>();

  private constructor(clock: Clock, list: VmList, metrics: Metrics) {
    this.#clock = clock;
    this.#list = list;
    this.#metrics = metrics;
  }

  static create(clock: Clock, list: VmList, metrics: Metrics): Serviceability {
    return new Serviceability(clock, list, metrics);
  }

  /**
   * Reads the VM list until `signal` aborts; `listed` gets each new list. After a failed read the last list
   * is used.
   */
  async run(signal: AbortSignal, listed: (vms: ReadonlySet<VmName>) => void): Promise<void> {
    while (!signal.aborted) {
      await this.#read(listed);
      await this.#clock.sleep(vmListInterval, signal);
    }
  }

  /** Whether the server must get no new work. A VM that is no longer in the list counts as leaving. */
  isOutOfService(catalogue: Catalogue, server: Server): boolean {
    if (isDrained(catalogue, server)) return true;
    const state = this.#vmStates.get(server.vm);
    return state === 'leaving' || (state === undefined && this.#knownVms.has(server.vm));
  }

  async #read(listed: (vms: ReadonlySet<VmName>) => void): Promise<void> {
    this.#metrics.count('vms.read');
    const failure = { kind: 'unavailable', detail: 'no answer in time' } as const;
    const result = await withTimeout(this.#clock, vmListTimeout, this.#list.vms(), failure);
    if (result.isErr()) {
      this.#metrics.count('vms.readFailed');
      return;
    }
    this.#vmStates = new Map(result.value.map(({ vm, state }) => [vm, state]));
    for (const { vm } of result.value) this.#knownVms.add(vm);
    if (result.value.length > 0) listed(new Set(this.#vmStates.keys()));
  }
}
