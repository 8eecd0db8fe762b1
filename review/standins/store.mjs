// A stand-in of the platform's store: tables of rows with versions from one counter, and a feed of changes.

import { createServer } from 'node:http';

const json = { 'content-type': 'application/json' };

/** The calls of the store that routers and servers make. It keeps all of its history. */
export class Store {
  #rows = new Map();
  #waiting = new Set();
  #version = 1;
  #server;

  static async start(ip) {
    const store = new Store();
    store.#server = createServer((request, response) => void store.#serve(request, response));
    await new Promise((resolve) => store.#server.listen(0, ip, resolve));
    return store;
  }

  get address() {
    const { address, port } = this.#server.address();
    return `${address}:${port}`;
  }

  put(table, key, value) {
    this.#write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'));
  }

  remove(table, key) {
    this.#write(table, key, undefined);
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #write(table, key, value) {
    this.#version += 1;
    this.#rows.set(`${table}/${key}`, { table, part: '', key, value, ver: this.#version });
    for (const wake of this.#waiting) wake();
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, 'http://store');
    const table = url.searchParams.get('table');
    const answer = (status, body) =>
      response
        .writeHead(status, json)
        .end(JSON.stringify({ ...body, ver: this.#version, nowMs: Math.round(performance.now()) }));
    switch (url.pathname) {
      case '/-/rows-get':
        answer(200, { rows: this.#select(table, 0).filter(isPresent), hasMore: false });
        return;
      case '/-/rows-feed': {
        const since = Number(url.searchParams.get('sinceRev'));
        const end = performance.now() + Number(url.searchParams.get('waitMs') ?? 0);
        while (this.#select(table, since).length === 0 && performance.now() < end)
          await this.#change(end - performance.now());
        const rows = this.#select(table, since).map((row) =>
          isPresent(row) ? row : { ...row, removed: true },
        );
        answer(200, { rows });
        return;
      }
      case '/-/rows-tx': {
        const { precondition = [], writes = [], remove = [] } = JSON.parse(Buffer.concat(chunks));
        const isMet = precondition.every((row) => this.#versionOf(row) === row.ver);
        if (!isMet) {
          answer(412, { rows: [] });
          return;
        }
        for (const row of writes) this.#write(row.table, row.key, row.value);
        for (const row of remove) this.#write(row.table, row.key, undefined);
        answer(200, {});
        return;
      }
      default:
        answer(404, {});
    }
  }

  #versionOf({ table, key }) {
    const row = this.#rows.get(`${table}/${key}`);
    return row === undefined || !isPresent(row) ? 0 : row.ver;
  }

  #select(table, since) {
    return [...this.#rows.values()].filter((row) => row.table === table && row.ver > since);
  }

  #change(within) {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, Math.max(1, within));
      this.#waiting.add(done);
    });
  }
}

function isPresent({ value }) {
  return value !== undefined;
}
