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
export interface Flight {
  started(): void;
  finish(): void;
}

/** Requests of this router in flight, by server. */
export class Loads {
  readonly #own = new Map<string, Load>();

  static create(): Loads {
    return new Loads();
  }

  /** Counts a request that is sent to the server. */
  begin(server: string, unread: number, memory: number): Flight {
    let isUnread = true;
    let isOver = false;
    this.#change(server, { unread, requests: 1, memory });
    const started = (): void => {
      if (isUnread) this.#change(server, { unread: -unread, requests: 0, memory: 0 });
      isUnread = false;
    };
    return {
      started,
      finish: () => {
        if (isOver) return;
        isOver = true;
        started();
        this.#change(server, { unread: 0, requests: -1, memory: -memory });
      },
    };
  }

  at(server: string): Load {
    return this.#own.get(server) ?? noLoad;
  }

  /** Load that this router has in flight, by server. */
  all(): LoadMap {
    return this.#own;
  }

  #change(server: string, by: Load): void {
    const load = sum(this.#own.get(server) ?? noLoad, by);
    if (load.requests === 0) this.#own.delete(server);
    else this.#own.set(server, load);
  }
}

export function sum(a: Load, b: Load): Load {
  return {
    unread: a.unread + b.unread,
    requests: a.requests + b.requests,
    memory: a.memory + b.memory,
  };
}
