// Servers that stop at each byte within the head of their answer, or right behind it, and close the connection. A caller must
// not get a success from it: with an empty body and a framing of its own it would look whole.

import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { after, before, test } from 'node:test';
import { Log, Tunnels } from '@catkinwheel/gateway';
import { Clock } from '@catkinwheel/state';
import { CallerConnection, type Answer } from './callerConnection.js';
import { StackFleet, modelFields, names, until } from './fleet.js';
import { RawServer, type RawRequest } from './rawServer.js';

const body = 'all of it';
/** Places that are tried at the same time. */
const batch = 16;

interface Variant {
  readonly name: string;
  readonly path: '/charges/1' | '/drafts/1' | '/letters/1';
  readonly interim?: string;
  readonly fields: readonly string[];
  /** Whether a whole answer comes before on each connection to the server. */
  readonly isKept?: boolean;
  /** Whether the caller is connected through the tunnel of another router. */
  readonly isTunnelled?: boolean;
}

const length = `Content-Length: ${body.length}`;
const chunked = 'Transfer-Encoding: chunked';
const events = 'Content-Type: text/event-stream';
const hints = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';

const variants: readonly Variant[] = [
  { name: 'with a length', path: '/charges/1', fields: [length] },
  { name: 'with chunks', path: '/charges/1', fields: [chunked] },
  { name: 'without a length', path: '/charges/1', fields: [] },
  { name: 'that closes', path: '/charges/1', fields: [length, 'Connection: close'] },
  { name: 'behind an interim one', path: '/charges/1', interim: hints, fields: [length] },
  { name: 'of a stream with chunks', path: '/drafts/1', fields: [events, chunked] },
  { name: 'of a stream with a length', path: '/drafts/1', fields: [events, length] },
  { name: 'of a stream without a length', path: '/drafts/1', fields: [events] },
  {
    name: 'of a stream behind an interim one',
    path: '/drafts/1',
    interim: hints,
    fields: [events],
  },
  { name: 'of a stream that may be resumed', path: '/letters/1', fields: [events, chunked] },
  { name: 'on a kept connection', path: '/charges/1', fields: [length], isKept: true },
  { name: 'of a stream on a kept one', path: '/drafts/1', fields: [events, chunked], isKept: true },
  { name: 'through a tunnel', path: '/charges/1', fields: [chunked], isTunnelled: true },
  {
    name: 'of a stream through a tunnel',
    path: '/drafts/1',
    fields: [events, chunked],
    isTunnelled: true,
  },
];

/** What the server sends of its next answers: ids of requests with the bytes before the close. */
const cuts = new Map<string, string>();
/** Requests on each connection before a cut one. */
const asked = new Map<string, number>();
let fleet: StackFleet;
let server: RawServer;
let sent = 0;

before(async () => {
  fleet = await StackFleet.start();
  for (const { id } of [...fleet.models, ...fleet.desks]) fleet.store.remove('servers', id);
  const seen = new Map<number, number>();
  server = await RawServer.start('raw', (request) => {
    const count = seen.get(request.connection) ?? 0;
    seen.set(request.connection, count + 1);
    const cut = cuts.get(request.id);
    if (cut === undefined) {
      request.socket.write(headOf(request, [length]) + body);
      return;
    }
    asked.set(request.id, count);
    request.socket.end(cut);
  });
  const entry = { address: server.address, zone: 'suva', version: 'v1', slots: 64, sequence: 1 };
  const state = { state: 'ready', warmupLeftMs: 0, born: 1 };
  fleet.store.put('servers', 'raw', { ...entry, ...state, service: names.desk });
  // Both services are at one address; a server that is asked for another id would refuse.
  fleet.store.put('servers', 'raw-model', { ...entry, ...state, service: names.model });
  await fleet.addRouter();
  await fleet.ready();
});

after(async () => {
  await fleet.close();
  await server.close();
});

function headOf({ id }: Pick<RawRequest, 'id'>, fields: readonly string[]): string {
  const own = [`Request-Id: ${id}`, 'Response-Seal: seal-raw', ...fields];
  return `HTTP/1.1 200 OK\r\n${own.map((line) => `${line}\r\n`).join('')}\r\n`;
}

async function ask(address: string, path: Variant['path'], id: string): Promise<Answer> {
  const connection = await CallerConnection.open(address);
  const headers = {
    host: names.host,
    'request-id': id,
    'deadline-ms': '2500',
    authorization: `Bearer ${names.key}`,
    ...(path === '/charges/1' ? {} : modelFields),
  };
  const answer = await connection.ask({ method: 'POST', path, headers, body: 'x' });
  connection.close();
  return answer;
}

function nextId(): string {
  sent += 1;
  return `head-${sent}`;
}

/** Places at which the server stops: behind each byte of the interim answer and of the head. */
function placesOf({ interim = '', fields }: Variant, id: string): readonly string[] {
  const bytes = interim + headOf({ id }, fields);
  return Array.from({ length: bytes.length + 1 }, (_, end) => bytes.slice(0, end));
}

for (const variant of variants)
  // Guards against MIXED and ORDER: a 200 with an empty or short body, framed as whole.
  test(`an answer ${variant.name} that ends within its head never looks like a success`, async (t) => {
    const { path, isKept = false, isTunnelled = false } = variant;
    const callers = fleet.routers[0]?.settings.listen.callers ?? '';
    const address = isTunnelled ? await tunnelTo(t, callers) : callers;
    const count = placesOf(variant, 'head-0000').length;
    let reused = 0;
    // One by one, a request gets the connection that the one before it has left.
    const step = isKept ? 1 : batch;
    for (let first = 0; first < count; first += step) {
      const places = Array.from({ length: Math.min(step, count - first) }, (_, at) => first + at);
      if (isKept) {
        const warm = await Promise.all(places.map(() => ask(address, '/charges/1', nextId())));
        for (const answer of warm) assert.ok(answer.kind === 'whole' && answer.status === 200);
      }
      await Promise.all(
        places.map(async (place) => {
          const id = nextId();
          cuts.set(id, placesOf(variant, id)[place] ?? '');
          const answer = await ask(address, path, id);
          const isSuccess = answer.kind === 'whole' && answer.status < 300;
          assert.ok(!isSuccess && answer.kind !== 'unreadable', JSON.stringify({ place, answer }));
          assert.ok(
            asked.has(id) || answer.kind === 'whole',
            `${id} got no answer from the router`,
          );
          if ((asked.get(id) ?? 0) > 0) reused += 1;
        }),
      );
    }
    if (isKept && path === '/charges/1') assert.ok(reused > count / 2, `${reused} of ${count}`);
  });

/** A listener that passes connections on as a router does that hands them over. */
async function tunnelTo(t: { after(close: () => void): void }, address: string): Promise<string> {
  const [host = '', port] = address.split(':');
  const clock = Clock.system();
  const tunnels = Tunnels.create(clock, Log.create(clock, 'holder', 'boot'));
  const end = { host, port: Number(port) };
  const listener = createServer({ allowHalfOpen: true }, (socket) => {
    void tunnels.open(
      socket,
      { takeBytes: () => Buffer.alloc(0), id: '', answerBy: Infinity },
      end,
    );
  });
  listener.listen(0, '127.0.0.1');
  await once(listener, 'listening');
  t.after(() => {
    tunnels.close();
    listener.close();
  });
  await until(() => listener.listening);
  return `127.0.0.1:${(listener.address() as AddressInfo).port}`;
}
