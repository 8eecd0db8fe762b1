// One incarnation of a server. A server may start again under its id, at the same address or another one, and then knows nothing
// of before. So whatever routers keep about a server belongs to one instance, and what is still told of an earlier one, by a
// response, a late registration or another router, must not count for the present one.

/** One run of a server process; the next one may have the same id, the same address or both. */
export interface ServerInstance {
  readonly id: string;
  /** `host:port` */
  readonly address: string;
  /** Wall clock time of its start in milliseconds; undefined if its registration lacks it. */
  readonly born: number | undefined;
}

export function isSameInstance(a: ServerInstance, b: ServerInstance): boolean {
  return a.id === b.id && a.born === b.born && a.address === b.address;
}

/** Whether `a` is known to have started before `b`, which has the same id; false if a start time is missing. */
export function isOlderInstance(a: ServerInstance, b: ServerInstance): boolean {
  return a.id === b.id && a.born !== undefined && b.born !== undefined && a.born < b.born;
}

/** Text that differs between instances. */
export function instanceKey({ id, address, born }: ServerInstance): string {
  return `${id} ${address} ${born ?? ''}`;
}

interface Entry<Value> {
  readonly instance: ServerInstance;
  readonly value: Value;
}

/** A value for the latest instance of each id. */
export class InstanceMap<Value> {
  readonly #entries = new Map<string, Entry<Value>>();

  private constructor() {
    // Instances come from `create`.
  }

  static create<Value>(): InstanceMap<Value> {
    return new InstanceMap();
  }

  get size(): number {
    return this.#entries.size;
  }

  get(instance: ServerInstance): Value | undefined {
    const known = this.#entries.get(instance.id);
    return known !== undefined && isSameInstance(known.instance, instance)
      ? known.value
      : undefined;
  }

  /** Whether there is a value for an instance with the id that started later. */
  hasLater(instance: ServerInstance): boolean {
    const known = this.#entries.get(instance.id);
    return known !== undefined && isOlderInstance(instance, known.instance);
  }

  /** Replaces the value of another instance with the id, unless that is a later one. Returns whether the value was set. */
  set(instance: ServerInstance, value: Value): boolean {
    if (this.hasLater(instance)) return false;
    const { id, address, born } = instance;
    this.#entries.set(id, { instance: { id, address, born }, value });
    return true;
  }

  /** Removes the value of the instance; that of another instance stays. */
  delete(instance: ServerInstance): void {
    const known = this.#entries.get(instance.id);
    if (known !== undefined && isSameInstance(known.instance, instance))
      this.#entries.delete(instance.id);
  }

  /** Removes the value of whichever instance has the id. */
  deleteId(id: string): void {
    this.#entries.delete(id);
  }

  /** Instances with their values, in the order in which their ids were added. */
  *entries(): Generator<readonly [ServerInstance, Value], void, void> {
    for (const { instance, value } of this.#entries.values()) yield [instance, value];
  }
}
