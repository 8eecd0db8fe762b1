// A stand-in of a sound server of the platform. It registers itself in the store, runs each request that names it, and tells
// what it has seen.

import { createServer } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';

export class Server {
  /** What arrived: id of the request, time, whether it was run, and when its answer was complete. */
  arrivals = [];
  isLeaving = false;
  #server;
  #sockets = new Set();

  /**
   * `options`: service, zone, slots, and workMs, the time until an answer is complete. Its first bytes come after firstMs, if that
   * is given.
   */
  constructor(store, id, options) {
    this.store = store;
    this.id = id;
    this.options = options;
  }

  /** Starts to listen, at `port` if it is given, as a new boot. */
  async start(ip, port = 0) {
    this.born = Date.now();
    this.arrivals = [];
    this.#server = createServer((request, response) => void this.#serve(request, response));
    this.#server.keepAliveTimeout = 15_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
    const { address, port: at } = this.#server.address();
    this.address = `${address}:${at}`;
  }

  /** Writes the entry of this server to the store. */
  register(state = 'ready', warmupLeftMs = 0) {
    const { service, zone, slots } = this.options;
    this.store.put('servers', this.id, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots,
      state,
      warmupLeftMs,
      sequence: 1,
      born: this.born,
    });
  }

  /** Ends at once, as a process that is killed: the operating system resets or closes its connections. */
  crash() {
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  async #serve(request, response) {
    const at = performance.now();
    const { headers, method, url } = request;
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (url === '/health') {
      response.writeHead(this.isLeaving ? 503 : 200, { 'instance-id': this.id }).end();
      return;
    }
    if (url === '/-/kv-list') {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ epoch: this.born, next: 1, held: [] }));
      return;
    }
    const id = headers['request-id'];
    const common = { 'request-id': id, 'instance-id': this.id };
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) {
      this.arrivals.push({ id, at, status: 421 });
      response.writeHead(421, common).end();
      return;
    }
    if (this.isLeaving) common['server-leaving'] = '1';
    const body = Buffer.concat(chunks).toString();
    const arrival = { id, at, method, url, body, headers, status: 200, endedAt: undefined };
    this.arrivals.push(arrival);
    const cutShort = new Promise((resolve) => response.once('close', resolve));
    const { workMs, firstMs = workMs } = this.options;
    const text = `${this.id} ran ${id}`;
    const wait = async (duration) => {
      await Promise.race([pause(duration), cutShort]);
      return !response.destroyed;
    };
    if (await wait(firstMs)) {
      response.writeHead(200, {
        ...common,
        'response-seal': `seal.${this.id}.${id}`,
        'content-type': 'text/plain',
        'content-length': Buffer.byteLength(text),
      });
      response.write(text.slice(0, this.id.length));
    }
    if (await wait(workMs - firstMs)) response.end(text.slice(this.id.length));
    else arrival.status = 'cut';
    arrival.endedAt = performance.now();
  }
}
