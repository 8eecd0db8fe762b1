// Requests in flight by server. Many routers choose among the same servers, and a server's own report is late;
// routers exchange these counts so that they do not all choose the same server.

import { InstanceMap, type ServerInstance } from './serverInstance.js';

/** Requests in flight, or queued, for one server. */
export interface Load {
  /** Prompt tokens that the server has yet to prefill: its prefill backlog. */
  readonly unread: number;
  /** Number of requests, those in prefill included. */
  readonly requests: number;
  /** Engine memory that these requests need in addition to shared prompt parts, in tokens. */
  readonly memory: number;
}

export const noLoad: Load = { unread: 0, requests: 0, memory: 0 };

/** Load by server id. */
export type LoadMap = ReadonlyMap<string, Load>;

/** A request in flight. `started` marks its first token; `finish` must be called once. */
export interface InFlightRequest {
  started(): void;
  finish(): void;
}

/** The load of one instance, which requests in flight there change to their end. */
interface Counter {
  load: Load;
}

/** Requests of this router in flight, by server. Those at the former instance of an id do not count for the present one. */
export class LocalLoads {
  readonly #counters = InstanceMap.create<Counter>();

  static create(): LocalLoads {
    return new LocalLoads();
  }

  /** Counts a request that is sent to the server. */
  begin(server: ServerInstance, unread: number, memory: number): InFlightRequest {
    let isPrefillPending = true;
    let isFinished = false;
    const counter = this.#counters.get(server) ?? { load: noLoad };
    this.#counters.set(server, counter);
    const change = (by: Load): void => {
      counter.load = sumLoads(counter.load, by);
      const isCounted = this.#counters.get(server) === counter;
      if (isCounted && counter.load.requests === 0) this.#counters.delete(server);
    };
    change({ unread, requests: 1, memory });
    const started = (): void => {
      if (isPrefillPending) change({ unread: -unread, requests: 0, memory: 0 });
      isPrefillPending = false;
    };
    return {
      started,
      finish: () => {
        if (isFinished) return;
        isFinished = true;
        started();
        change({ unread: 0, requests: -1, memory: -memory });
      },
    };
  }

  at(server: ServerInstance): Load {
    return this.#counters.get(server)?.load ?? noLoad;
  }

  /** Load that this router has in flight, by server. */
  all(): LoadMap {
    return new Map([...this.#counters.entries()].map(([{ id }, { load }]) => [id, load]));
  }

  /** Stops counting an instance that another one has replaced. */
  forget(server: ServerInstance): void {
    this.#counters.delete(server);
  }
}

export function sumLoads(a: Load, b: Load): Load {
  return {
    unread: a.unread + b.unread,
    requests: a.requests + b.requests,
    memory: a.memory + b.memory,
  };
}
