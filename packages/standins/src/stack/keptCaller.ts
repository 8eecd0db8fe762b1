// A caller that uses its connection until the router closes it, and checks all that comes on it: also what comes behind
// an answer, or when no answer is due.

import type { Milliseconds } from '@catkinwheel/state';
import { answerFaults, type Asked, type RequestKind } from './answerCheck.js';
import { CallerConnection, type Answer, type PlainRequest } from './callerConnection.js';
import { modelFields, names } from './fleet.js';
import type { StackServer } from './server.js';

/** Connections of all callers of this process until now. */
let opened = 0;

/** An answer, and where it came. */
export interface PlacedAnswer extends Asked {
  /** The connection, the request's place on it and the bytes received last. */
  readonly place: string;
}

/** A caller of one router. */
export class KeptCaller {
  #connection: CallerConnection | undefined;
  #number = 0;
  /** Requests on the connection until now. */
  #asked = 0;
  #lastId = '';

  private constructor(
    private readonly address: string,
    private readonly servers: () => readonly StackServer[],
    private readonly report: (fault: string) => void,
  ) {}

  /** `report` is called for each answer, or bytes beyond one, that break a promise. */
  static create(
    address: string,
    servers: () => readonly StackServer[],
    report: (fault: string) => void,
  ): KeptCaller {
    return new KeptCaller(address, servers, report);
  }

  /** Sends a request and checks its answer. A router that cannot be reached gives a broken one. Never rejects. */
  async ask(id: string, kind: RequestKind, options: AskOptions = {}): Promise<PlacedAnswer> {
    const { within, method } = options;
    const connection = await this.#open();
    if (connection === undefined) {
      const answer = { kind: 'broken', status: undefined, bytes: '' } as const;
      return { id, kind, answer, excess: '', place: `no connection to ${this.address}` };
    }
    this.#asked += 1;
    this.#lastId = id;
    const answer = await connection.ask(requestOf(kind, id, method), within);
    const excess = answer.kind === 'whole' ? connection.excess : '';
    const asked = { id, kind, answer, excess, place: this.#placeOf(connection) };
    for (const fault of answerFaults(asked, this.servers())) this.#tell(connection, fault);
    if (excess !== '' || !isKept(answer)) this.close();
    return asked;
  }

  /** Reports bytes that came since the last answer. */
  checkExcess(): void {
    const connection = this.#connection;
    if (connection === undefined || connection.excess === '') return;
    const bytes = JSON.stringify(connection.excess);
    this.#tell(connection, `${this.#lastId} was followed by ${bytes} that nobody asked for`);
    this.close();
  }

  close(): void {
    this.#connection?.close();
    this.#connection = undefined;
  }

  async #open(): Promise<CallerConnection | undefined> {
    this.checkExcess();
    if (this.#connection?.isClosed === false) return this.#connection;
    this.close();
    try {
      this.#connection = await CallerConnection.open(this.address);
    } catch {
      // The router does not run; a caller has no answer then.
      return undefined;
    }
    opened += 1;
    this.#number = opened;
    this.#asked = 0;
    return this.#connection;
  }

  #tell(connection: CallerConnection, fault: string): void {
    this.report(`${fault} (${this.#placeOf(connection)})`);
  }

  #placeOf({ last }: CallerConnection): string {
    const place = `connection ${this.#number} to ${this.address}, request ${this.#asked} on it`;
    return `${place}, last bytes ${JSON.stringify(last)}`;
  }
}

interface AskOptions {
  readonly method?: string;
  /** Time after which the caller waits no longer. */
  readonly within?: Milliseconds;
}

/** Whether the connection of the answer can be used again. */
function isKept(answer: Answer): boolean {
  return answer.kind === 'whole' && answer.headers.connection !== 'close';
}

/** A request of a kind as callers send it. */
function requestOf(kind: RequestKind, id: string, method: string | undefined): PlainRequest {
  const headers = { host: names.host, 'request-id': id, 'deadline-ms': '3000' };
  const keyed = { ...headers, authorization: `Bearer ${names.key}` };
  const path = `/${kind}/${id}`;
  switch (kind) {
    case 'reads':
      return { method: method ?? 'GET', path, headers: keyed };
    case 'charges':
      // The route of charges is public.
      return { method: method ?? 'POST', path, headers, body: 'amount=1' };
    case 'letters':
      return { method: method ?? 'GET', path, headers: { ...keyed, ...modelFields } };
  }
}
