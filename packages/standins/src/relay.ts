// A TCP relay in front of one listener, through which tests cut, silence and delay connections.

import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import type { Milliseconds } from '@catkinwheel/state';
import { senderIn } from './sniff.js';

/** What happens to connections: `drop` keeps them open but passes nothing on. */
export type Rule = 'pass' | 'cut' | 'drop';

/** Bytes of a new connection that are searched for the name of its sender. */
const searchedBytes = 16_384;

interface Link {
  readonly near: Socket;
  readonly far: Socket;
  /** Name of the router that opened the connection, once it is known. */
  source: string | undefined;
  isSilent: boolean;
}

/** A relay to one address, which may change while it runs. */
export class Relay {
  readonly #server: Server;
  readonly #delay: Milliseconds;
  readonly #links = new Set<Link>();
  readonly #rules = new Map<string, Rule>();
  #rule: Rule = 'pass';
  #target: string | undefined;

  private constructor(server: Server, delay: Milliseconds) {
    this.#server = server;
    this.#delay = delay;
    server.on('connection', (near) => {
      this.#accept(near);
    });
  }

  /** Listens; each byte is passed on `delay` after it came. */
  static async create(delay: Milliseconds = 0): Promise<Relay> {
    const server = createServer({ noDelay: true });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return new Relay(server, delay);
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Sets the address that later connections go to. */
  point(target: string): void {
    this.#target = target;
  }

  /** Applies `rule` to connections of router `source`, or to all if none is named. */
  rule(rule: Rule, source?: string): void {
    if (source === undefined) this.#rule = rule;
    else this.#rules.set(source, rule);
    for (const link of this.#links) this.#apply(link);
  }

  /** Passes nothing more on the connections open now; later ones work. */
  silence(source?: string): void {
    for (const link of this.#links) {
      if (source === undefined || link.source === source) link.isSilent = true;
    }
  }

  close(): void {
    this.#server.close();
    for (const link of this.#links) link.near.destroy();
  }

  #accept(near: Socket): void {
    if (this.#target === undefined || this.#rule === 'cut') {
      near.destroy();
      return;
    }
    const [host, port] = this.#target.split(':');
    const far = connect({ host: host ?? '', port: Number(port), noDelay: true });
    const link: Link = { near, far, source: undefined, isSilent: false };
    this.#links.add(link);
    let head = Buffer.alloc(0);
    near.on('data', (bytes) => {
      if (link.source === undefined && head.length < searchedBytes) {
        head = Buffer.concat([head, bytes]);
        link.source = senderIn(head);
        if (link.source !== undefined) this.#apply(link);
      }
      this.#pass(link, far, bytes);
    });
    far.on('data', (bytes) => {
      this.#pass(link, near, bytes);
    });
    for (const socket of [near, far]) {
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        this.#links.delete(link);
        near.destroy();
        far.destroy();
      });
    }
    this.#apply(link);
  }

  #pass(link: Link, to: Socket, bytes: Buffer): void {
    if (link.isSilent || this.#ruleFor(link) === 'drop') return;
    if (this.#delay === 0) to.write(bytes);
    else setTimeout(() => to.writable && to.write(bytes), this.#delay);
  }

  #ruleFor(link: Link): Rule {
    const own = link.source === undefined ? undefined : this.#rules.get(link.source);
    return this.#rule === 'pass' ? (own ?? 'pass') : this.#rule;
  }

  #apply(link: Link): void {
    switch (this.#ruleFor(link)) {
      case 'cut':
        link.near.destroy();
        link.far.destroy();
        return;
      case 'drop':
        link.isSilent = true;
        return;
      case 'pass':
        return;
    }
  }
}

/** A port that was free a moment ago, for a listener that cannot say which port it got. */
export async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}
