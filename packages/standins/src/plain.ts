// A stand-in for a plain service: any path, work that takes a time, and a count of the executions
// of each payment, which shows duplicates.

import { randomUUID } from 'node:crypto';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { Capacity, capacityDefaults, type CapacitySettings } from './capacity.js';
import { endWithParent, Listener, say, settingsFrom } from './process.js';
import { LaggingLoad } from './reports.js';
import { checkOf, type PlainAnswer, type PlainWork } from './work.js';

export interface PlainSettings extends CapacitySettings {
  /** Address port; 0 lets the system choose. */
  readonly port: number;
  /** Lag of the load reports. */
  readonly lag: Milliseconds;
  /** Time that a request takes besides its own while the server is cold. */
  readonly coldExtra: Milliseconds;
}

const defaults: PlainSettings = { ...capacityDefaults, port: 0, lag: 400, coldExtra: 100 };

/** What tests can make a plain service do. */
export interface PlainControl {
  /** Number of requests to cut before they are executed. */
  readonly cutBefore?: number;
  /** Number of requests to cut after they were executed, before the answer. */
  readonly cutAfter?: number;
  /** Number of answers to cut in the middle of their body. */
  readonly cutWithin?: number;
  /** Number of answers to send with a wrong echoed id. */
  readonly crossed?: number;
  /** Time added to every request. */
  readonly slow?: Milliseconds;
  readonly silent?: boolean;
  readonly cold?: boolean;
  readonly restart?: boolean;
  readonly leaving?: boolean;
}

const settings = settingsFrom(defaults);
const clock = Clock.system();
const capacity = Capacity.create(settings, clock);
const load = LaggingLoad.create(clock, settings.lag, () => capacity.running);
const executions = new Map<string, number>();
const faults = { cutBefore: 0, cutAfter: 0, cutWithin: 0, crossed: 0 };
let slow: Milliseconds = 0;
let boot = randomUUID();
let isLeaving = false;
/** Rises with each restart; work that began before one ends without effect on the count. */
let generation = 0;

const app = new Hono<{ Bindings: HttpBindings }>();

app.get('/load', (c) => c.json(load.report(boot, isLeaving, [])));

app.all('*', async (c) => {
  const { incoming, outgoing } = c.env;
  const work = await c.req.json<PlainWork>();
  if (take('cutBefore')) {
    incoming.socket.destroy();
    return RESPONSE_ALREADY_SENT;
  }
  executions.set(work.payment, (executions.get(work.payment) ?? 0) + 1);
  say({ event: 'ran', key: work.payment });
  if (!(await serve(work.time))) return RESPONSE_ALREADY_SENT;
  if (take('cutAfter')) {
    incoming.socket.destroy();
    return RESPONSE_ALREADY_SENT;
  }
  const answer: PlainAnswer = { payment: work.payment, check: checkOf(work.payment) };
  const body = JSON.stringify(answer);
  const id = c.req.header('x-request-id') ?? '';
  outgoing.setHeader('x-request-id', take('crossed') ? randomUUID() : id);
  outgoing.setHeader('content-type', 'application/json');
  outgoing.setHeader('content-length', Buffer.byteLength(body));
  if (take('cutWithin')) {
    outgoing.write(body.slice(0, body.length / 2), () => incoming.socket.destroy());
  } else {
    outgoing.end(body);
  }
  return RESPONSE_ALREADY_SENT;
});

/** Takes the time of the work; false if the server restarted meanwhile. */
async function serve(time: Milliseconds): Promise<boolean> {
  const started = generation;
  const beganCold = capacity.enter();
  if (capacity.isOverloaded()) fallOver();
  const extra = beganCold ? settings.coldExtra : 0;
  await clock.sleep((time + slow + extra) / capacity.speed);
  if (started !== generation) return false;
  if (beganCold) capacity.showSign();
  capacity.leave(beganCold);
  return true;
}

const control = new Hono();

control.post('/control', async (c) => {
  const asked = await c.req.json<PlainControl>();
  faults.cutBefore = asked.cutBefore ?? faults.cutBefore;
  faults.cutAfter = asked.cutAfter ?? faults.cutAfter;
  faults.cutWithin = asked.cutWithin ?? faults.cutWithin;
  faults.crossed = asked.crossed ?? faults.crossed;
  slow = asked.slow ?? slow;
  isLeaving = asked.leaving ?? isLeaving;
  if (asked.silent === true) listener.silence();
  if (asked.cold === true) capacity.turnCold();
  if (asked.restart === true) {
    capacity.restart();
    forgetAll();
  }
  return c.json({});
});

control.get('/control/capacity', (c) => c.json(capacity.stats()));

control.get('/control/stats', (c) =>
  c.json({ ...capacity.stats(), boot, executions: Object.fromEntries(executions) }),
);

function take(fault: keyof typeof faults): boolean {
  if (faults[fault] === 0) return false;
  faults[fault] -= 1;
  return true;
}

function fallOver(): void {
  say({ event: 'overload', running: capacity.running, cause: capacity.cause });
  capacity.overload();
  forgetAll();
}

function forgetAll(): void {
  generation += 1;
  boot = randomUUID();
  load.reset();
  listener.cut();
}

const listener = await Listener.create(app, settings.port);
const controls = await Listener.create(control);
endWithParent();
setInterval(() => {
  if (capacity.isOverloaded()) fallOver();
}, settings.lag / 4);
say({ event: 'ready', address: listener.address, control: controls.address });
