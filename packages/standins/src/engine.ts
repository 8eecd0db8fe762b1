// A stand-in for a model engine: continuous batching without priorities, streams that can be
// resumed and cancelled, a cold start that bears little, and load reports that lag.

import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { HttpBindings } from '@hono/node-server';
import { Clock, type Milliseconds } from '@catkinwheel/state';
import { Hono } from 'hono';
import { Capacity, capacityDefaults, type CapacitySettings } from './capacity.js';
import { Generation } from './generation.js';
import { endWithParent, Listener, say, settingsFrom } from './process.js';
import { LaggingLoad } from './reports.js';
import { workIn, type ModelWork } from './work.js';

export interface EngineSettings extends CapacitySettings {
  readonly model: string;
  /** Address port; 0 lets the system choose. */
  readonly port: number;
  /** Tokens per second and slot. */
  readonly rate: number;
  /** Prompt tokens read per second. */
  readonly promptRate: number;
  /** Time to the first token besides reading the prompt, warm and cold. */
  readonly firstToken: Milliseconds;
  readonly coldFirstToken: Milliseconds;
  /** Time between two writes to a stream. */
  readonly tick: Milliseconds;
  /** Time that an answer goes on without a reader before it is cancelled. */
  readonly unreadFor: Milliseconds;
  /** Lag of the load reports. */
  readonly lag: Milliseconds;
  /** Whether orders with a fence lower than an earlier one are refused. */
  readonly checksFence: boolean;
}

const defaults: EngineSettings = {
  ...capacityDefaults,
  model: 'letters',
  port: 0,
  rate: 200,
  promptRate: 20_000,
  firstToken: 20,
  coldFirstToken: 300,
  tick: 20,
  unreadFor: 3_000,
  lag: 400,
  checksFence: true,
};

/** What tests can make an engine do. */
export interface EngineControl {
  /** Turn cold without a new boot id. */
  readonly cold?: boolean;
  /** Cut everything and start again cold with a new boot id. */
  readonly restart?: boolean;
  /** Send nothing more on the connections open now. */
  readonly silent?: boolean;
  /** Cut all open connections. */
  readonly cut?: boolean;
  /** Number of answers to send with a wrong echoed id and the text of another request. */
  readonly crossed?: number;
  /** Say in load reports that the server is leaving. */
  readonly leaving?: boolean;
}

interface ChatRequest {
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly messages: readonly { readonly content: string }[];
  readonly continue_from?: { readonly tokens: number; readonly text: string };
}

/** Time that a finished answer can still be read. */
const keepFinished: Milliseconds = 10_000;

const settings = settingsFrom(defaults);
const clock = Clock.system();
const capacity = Capacity.create(settings, clock);
const load = LaggingLoad.create(clock, settings.lag, () => capacity.running);
const running = new Map<string, Generation>();
const finished = new Map<string, Generation>();
const executions = new Map<string, number>();
let boot = randomUUID();
let models: readonly string[] = [settings.model];
let isLeaving = false;
let crossed = 0;
let highestFence = 0;
let staleOrders = 0;

const app = new Hono<{ Bindings: HttpBindings }>();

app.post('/v1/chat/completions', async (c) => {
  const body = await c.req.json<ChatRequest>();
  const asked = workIn(body.messages.map((message) => message.content).join('\n'));
  if (asked === undefined) return c.json({ error: { message: 'the prompt names no work' } }, 400);
  const id = c.req.header('x-request-id') ?? randomUUID();
  const isCrossed = crossed > 0;
  if (isCrossed) crossed -= 1;
  const limited = { ...asked, tokens: Math.min(asked.tokens, body.max_tokens ?? Infinity) };
  const work = isCrossed ? { ...limited, seed: limited.seed + 1 } : limited;
  const generation = start(id, work, body.continue_from?.tokens ?? 0);
  const echoed = isCrossed ? randomUUID() : id;
  read(generation, c.env.outgoing, echoed, body.stream === true, 0);
  if (capacity.isOverloaded()) fallOver();
  return RESPONSE_ALREADY_SENT;
});

app.get('/v1/streams/:id', (c) => {
  const id = c.req.param('id');
  const generation = running.get(id) ?? finished.get(id);
  if (generation === undefined) return c.json({ error: { message: 'no such stream' } }, 404);
  read(generation, c.env.outgoing, id, true, Number(c.req.query('offset') ?? 0));
  return RESPONSE_ALREADY_SENT;
});

app.delete('/v1/streams/:id', (c) => {
  const generation = running.get(c.req.param('id'));
  if (generation === undefined) return c.json({ error: { message: 'no such stream' } }, 404);
  end(generation);
  generation.cut();
  return c.json({});
});

app.get('/load', (c) => c.json(load.report(boot, isLeaving, models)));

app.post('/orders', async (c) => {
  const { order, fence } = await c.req.json<{
    order: string | { readonly model?: string };
    fence: number;
  }>();
  if (fence < highestFence) {
    if (settings.checksFence) return c.json({ error: { message: 'old fence' } }, 409);
    staleOrders += 1;
  }
  highestFence = Math.max(highestFence, fence);
  const model = typeof order === 'string' ? order : order.model;
  if (model !== undefined) models = [...new Set([...models, model])];
  return c.json({});
});

const control = new Hono();

control.post('/control', async (c) => {
  const asked = await c.req.json<EngineControl>();
  if (asked.cold === true) capacity.turnCold();
  if (asked.restart === true) restart();
  if (asked.silent === true) listener.silence();
  if (asked.cut === true) listener.cut();
  if (asked.crossed !== undefined) crossed = asked.crossed;
  if (asked.leaving !== undefined) isLeaving = asked.leaving;
  return c.json({});
});

control.get('/control/capacity', (c) => c.json(capacity.stats()));

control.get('/control/stats', (c) =>
  c.json({ ...capacity.stats(), boot, staleOrders, executions: Object.fromEntries(executions) }),
);

function start(id: string, work: ModelWork, from: number): Generation {
  const now = clock.now();
  const beganCold = capacity.enter();
  const first = beganCold ? settings.coldFirstToken : settings.firstToken;
  const firstAt = now + first + (work.prompt / settings.promptRate) * 1_000;
  const plan = { id, model: settings.model, work, start: from, firstAt, beganCold };
  const generation = Generation.create(plan, now);
  if (from === 0) {
    executions.set(work.key, (executions.get(work.key) ?? 0) + 1);
    say({ event: 'ran', key: work.key });
  }
  running.set(id, generation);
  return generation;
}

function read(
  generation: Generation,
  out: ServerResponse,
  echoed: string,
  isStream: boolean,
  offset: number,
): void {
  out.statusCode = 200;
  out.setHeader('x-request-id', echoed);
  out.setHeader('content-type', isStream ? 'text/event-stream' : 'application/json');
  generation.attach(out, isStream, offset, clock.now());
}

function end(generation: Generation): void {
  if (!running.delete(generation.plan.id)) return;
  capacity.leave(generation.plan.beganCold && generation.isComplete);
}

function fallOver(): void {
  say({ event: 'overload', running: capacity.running, cause: capacity.cause });
  capacity.overload();
  forgetAll();
}

function restart(): void {
  capacity.restart();
  forgetAll();
}

function forgetAll(): void {
  boot = randomUUID();
  for (const generation of running.values()) generation.cut();
  running.clear();
  finished.clear();
  models = [settings.model];
  load.reset();
  listener.cut();
}

function finish(generation: Generation): void {
  end(generation);
  const { id } = generation.plan;
  finished.set(id, generation);
  setTimeout(() => finished.delete(id), keepFinished).unref();
}

let ticked = clock.now();

function tick(): void {
  const now = clock.now();
  const tokens = ((now - ticked) / 1_000) * settings.rate * capacity.speed;
  ticked = now;
  for (const generation of running.values()) {
    // An answer that began before the server turned cold starts as fast as ever and shows nothing.
    if (generation.advance(tokens, now) && generation.plan.beganCold) capacity.showSign();
    if (generation.isComplete) finish(generation);
    else if (generation.unread(now) > settings.unreadFor) end(generation);
  }
  if (capacity.isOverloaded()) fallOver();
}

const listener = await Listener.create(app, settings.port);
const controls = await Listener.create(control);
endWithParent();
setInterval(tick, settings.tick);
say({ event: 'ready', address: listener.address, control: controls.address });
