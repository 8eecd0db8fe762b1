// Load pattern: many routers choose among the same servers, and a server's own report is late. Routers
// count what they have under way at each server and tell one another, so that they do not all pick the same one.

/** What a router has under way at one server. */
export interface Load {
  /** Tokens of prompts that the server has still to read. */
  readonly unread: number;
  /** Requests sent and not finished, those that are still being read included. */
  readonly requests: number;
  /** Tokens of memory that these requests need beside shared parts. */
  readonly memory: number;
}

/** Nothing under way. */
export const noLoad: Load = { unread: 0, requests: 0, memory: 0 };

/** Loads by server. */
export type LoadMap = ReadonlyMap<string, Load>;

/** A request under way. `started` marks its first token; exactly one `finish` is due. */
export interface Flight {
  started(): void;
  finish(): void;
}

/** Load of each server by this router. */
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

  /** What this router has under way, by server. */
  all(): LoadMap {
    return this.#own;
  }

  #change(server: string, by: Load): void {
    const load = sum(this.#own.get(server) ?? noLoad, by);
    if (load.requests === 0) this.#own.delete(server);
    else this.#own.set(server, load);
  }
}

/** Both loads together. */
export function sum(a: Load, b: Load): Load {
  return {
    unread: a.unread + b.unread,
    requests: a.requests + b.requests,
    memory: a.memory + b.memory,
  };
}
