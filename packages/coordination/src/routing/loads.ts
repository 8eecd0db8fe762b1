// Requests in flight by server. Many routers choose among the same servers, and a server's own report is late;
// routers exchange these counts so that they do not all choose the same server.

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

/** Load by server. */
export type LoadMap = ReadonlyMap<string, Load>;

/** A request in flight. `started` marks its first token; `finish` must be called once. */
export interface InFlightRequest {
  started(): void;
  finish(): void;
}

/** Requests of this router in flight, by server. */
export class LocalLoads {
  readonly #byServer = new Map<string, Load>();

  static create(): LocalLoads {
    return new LocalLoads();
  }

  /** Counts a request that is sent to the server. */
  begin(server: string, unread: number, memory: number): InFlightRequest {
    let isPrefillPending = true;
    let isFinished = false;
    this.#change(server, { unread, requests: 1, memory });
    const started = (): void => {
      if (isPrefillPending) this.#change(server, { unread: -unread, requests: 0, memory: 0 });
      isPrefillPending = false;
    };
    return {
      started,
      finish: () => {
        if (isFinished) return;
        isFinished = true;
        started();
        this.#change(server, { unread: 0, requests: -1, memory: -memory });
      },
    };
  }

  at(server: string): Load {
    return this.#byServer.get(server) ?? noLoad;
  }

  /** Load that this router has in flight, by server. */
  all(): LoadMap {
    return this.#byServer;
  }

  #change(server: string, by: Load): void {
    const load = sumLoads(this.#byServer.get(server) ?? noLoad, by);
    if (load.requests === 0) this.#byServer.delete(server);
    else this.#byServer.set(server, load);
  }
}

export function sumLoads(a: Load, b: Load): Load {
  return {
    unread: a.unread + b.unread,
    requests: a.requests + b.requests,
    memory: a.memory + b.memory,
  };
}
