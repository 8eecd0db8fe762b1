// A stand-in of the platform's store: rows with versions from one counter, and a feed of changes. It can
// be made to refuse, to lose answers, to forget its history and to come back from an older copy.

import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** What the store does with calls. */
export type StoreMode =
  | 'well'
  /** 503 to everything. */
  | 'busy'
  /** Takes calls and never answers. */
  | 'silent'
  /** Answers with a body without end. */
  | 'endless'
  /** Performs writes and breaks the connection before the answer. */
  | 'losesAnswers';

interface StoredRow {
  readonly table: string;
  readonly key: string;
  readonly ver: number;
  /** Base64; undefined if the row was removed. */
  readonly value: string | undefined;
}

interface Transaction {
  readonly precondition: readonly {
    readonly table: string;
    readonly key: string;
    readonly ver: number;
  }[];
  readonly writes: readonly {
    readonly table: string;
    readonly key: string;
    readonly value: string;
  }[];
  readonly remove: readonly { readonly table: string; readonly key: string }[];
}

/** The content of the store at one moment. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, StoredRow>;
  readonly ver: number;
}

/** A running stand-in of the store. */
export class StackStore {
  mode: StoreMode = 'well';
  #rows = new Map<string, StoredRow>();
  readonly #waiting = new Set<() => void>();
  #ver = 1;
  #oldest = 0;
  #era = 1;

  private constructor(private readonly server: Server) {}

  static async start(): Promise<StackStore> {
    const server = createServer();
    const store = new StackStore(server);
    server.on('request', (request, response) => {
      void store.#serve(request, response);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return store;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Writes a row as an operator or a server does. */
  put(table: string, key: string, value: unknown): void {
    this.#write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'));
  }

  /** Writes bytes that need not be JSON. */
  putRaw(table: string, key: string, bytes: Buffer): void {
    this.#write(table, key, bytes.toString('base64'));
  }

  remove(table: string, key: string): void {
    this.#write(table, key, undefined);
  }

  /** Drops the history: feeds from older versions get 410, and removals are seen only by reading tables. */
  compact(): void {
    this.#oldest = this.#ver;
    for (const [id, row] of this.#rows) if (row.value === undefined) this.#rows.delete(id);
    this.#wake();
  }

  copy(): StoreCopy {
    return { rows: new Map(this.#rows), ver: this.#ver };
  }

  /** Comes back from a copy: what was written since is gone, and its versions are given out again. */
  restore({ rows, ver }: StoreCopy): void {
    this.#rows = new Map(rows);
    this.#ver = ver;
    this.#oldest = Math.min(this.#oldest, ver);
    this.#era += 1;
    this.#wake();
  }

  keys(table: string): readonly string[] {
    return this.#live(table).map(({ key }) => key);
  }

  async close(): Promise<void> {
    this.#wake();
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const era = this.#era;
    response.setHeader('store-era', era);
    const url = new URL(request.url ?? '/', 'http://store');
    const body = await text(request);
    switch (this.mode) {
      case 'silent':
        return;
      case 'busy':
        reply(response, 503, {});
        return;
      case 'endless':
        sendEndlessly(response);
        return;
      case 'losesAnswers':
        if (request.method === 'POST') this.#transact(JSON.parse(body) as Transaction);
        response.destroy();
        return;
      case 'well':
        break;
    }
    switch (url.pathname) {
      case '/-/rows-tx': {
        const conflicts = this.#transact(JSON.parse(body) as Transaction);
        if (conflicts) reply(response, 412, { rows: [] });
        else reply(response, 200, { ver: this.#ver, nowMs: 0 });
        return;
      }
      case '/-/rows-get':
        reply(response, 200, {
          rows: this.#live(url.searchParams.get('table') ?? ''),
          hasMore: false,
          ver: this.#ver,
          nowMs: 0,
        });
        return;
      case '/-/rows-feed':
        await this.#feed(url.searchParams, era, response);
        return;
      default:
        reply(response, 404, {});
    }
  }

  async #feed(query: URLSearchParams, era: number, response: ServerResponse): Promise<void> {
    const since = Number(query.get('sinceRev'));
    const table = query.get('table') ?? '';
    const end = Date.now() + Number(query.get('waitMs'));
    for (;;) {
      if (era !== this.#era) {
        // The store was away meanwhile, and its connections with it.
        response.destroy();
        return;
      }
      if (since < this.#oldest || since > this.#ver) {
        reply(response, 410, {});
        return;
      }
      const rows = [...this.#rows.values()].filter((row) => row.table === table && row.ver > since);
      if (rows.length > 0 || Date.now() >= end) {
        const changed = rows.map((row) =>
          row.value === undefined ? { ...row, removed: true } : row,
        );
        reply(response, 200, { rows: changed, ver: this.#ver, nowMs: 0 });
        return;
      }
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, end - Date.now()));
        this.#waiting.add(wake);
      });
    }
  }

  #transact(transaction: Transaction): boolean {
    const isStale = transaction.precondition.some(
      ({ table, key, ver }) => (this.#rows.get(`${table}/${key}`)?.ver ?? 0) !== ver,
    );
    if (isStale) return true;
    for (const { table, key, value } of transaction.writes) this.#write(table, key, value);
    for (const { table, key } of transaction.remove) this.#write(table, key, undefined);
    return false;
  }

  #write(table: string, key: string, value: string | undefined): void {
    this.#ver += 1;
    this.#rows.set(`${table}/${key}`, { table, key, ver: this.#ver, value });
    this.#wake();
  }

  #live(table: string): readonly StoredRow[] {
    return [...this.#rows.values()]
      .filter((row) => row.table === table && row.value !== undefined)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  #wake(): void {
    for (const wake of this.#waiting) wake();
  }
}

function reply(response: ServerResponse, status: number, body: unknown): void {
  if (response.destroyed) return;
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Sends a body without end, as fast as it is read. */
export function sendEndlessly(response: ServerResponse): void {
  const piece = Buffer.alloc(64 * 1024, ' ');
  const send = (): void => {
    while (!response.destroyed && response.write(piece));
  };
  response.writeHead(200, { 'content-type': 'application/json' });
  response.on('drain', send);
  send();
}

async function text(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}
