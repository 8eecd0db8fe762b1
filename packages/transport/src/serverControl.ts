// Control requests to servers have their own connections, so that a load report is not delayed by the
// requests it reports on.

import type { LoadReport, Order } from '@catkinwheel/protocol';
import type { Milliseconds } from '@catkinwheel/state';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { array, boolean, Codec, number, optional, string } from 'purify-ts';
import { Agent } from 'undici';

/** Longest time a control request may take; load reports are asked for every few hundred ms. */
const controlTimeout: Milliseconds = 1_000;
/** Largest answer in bytes. */
const answerLimit = 64 * 1024;

const loadReport = Codec.interface({
  boot: string,
  running: number,
  waiting: number,
  leaving: boolean,
  models: array(string),
  age: optional(number),
});

/** `GET /load` and `POST /orders`. Implements `ServerControl` of the coordination package. */
export class HttpServerControl {
  readonly #agent: Agent;

  private constructor(agent: Agent) {
    this.#agent = agent;
  }

  static create(): HttpServerControl {
    return new HttpServerControl(
      new Agent({ connections: 1, pipelining: 1, maxResponseSize: answerLimit }),
    );
  }

  /** The server's load report. Fails with a sentence for a person. */
  load(address: string): ResultAsync<LoadReport, string> {
    return this.#request(address, 'GET', '/load').andThen((body) =>
      loadReport.decode(body).caseOf({
        Left: (error) => errAsync(`malformed load report: ${error}`),
        Right: (load) => okAsync<LoadReport, string>({ ...load, age: load.age ?? 0 }),
      }),
    );
  }

  /** Gives an order. Fails with a sentence for a person; the order may then still have been taken. */
  order(address: string, order: Order): ResultAsync<void, string> {
    const { fence, ...rest } = order;
    const body = JSON.stringify({ order: rest, fence });
    return this.#request(address, 'POST', '/orders', body).map(() => undefined);
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#agent.destroy();
  }

  #request(
    address: string,
    method: 'GET' | 'POST',
    path: string,
    body?: string,
  ): ResultAsync<unknown, string> {
    return ResultAsync.fromPromise(this.#exchange(address, method, path, body), (error) =>
      error instanceof Error ? error.message : 'unknown error',
    );
  }

  async #exchange(
    address: string,
    method: 'GET' | 'POST',
    path: string,
    body?: string,
  ): Promise<unknown> {
    const answer = await this.#agent.request({
      origin: `http://${address}`,
      method,
      path,
      signal: AbortSignal.timeout(controlTimeout),
      ...(body === undefined ? {} : { body, headers: { 'content-type': 'application/json' } }),
    });
    const text = await answer.body.text();
    if (answer.statusCode >= 300) throw new Error(`status ${answer.statusCode}`);
    return text === '' ? undefined : JSON.parse(text);
  }
}
