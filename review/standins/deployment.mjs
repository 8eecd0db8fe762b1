// A small deployment for one script: a store, servers, routers, and the record of what was sent, answered and run.

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { Router, freePorts } from './router.mjs';
import { Server } from './server.mjs';
import { Store } from './store.mjs';

export const host = 'desk.example';
export const key = 'key-of-the-tenant';
const zones = { suva: 'viti-levu', nadi: 'viti-levu' };
const zoneNames = Object.keys(zones);

/** Whether the script brings about its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The exit codes of a script. */
const codes = { held: 0, broken: 1, couldNotRun: 2 };

export function route(name, kind, service, changes = {}) {
  return {
    name,
    host,
    prefix: `/${name}/`,
    routeType: kind,
    service,
    timeoutMs: 4_000,
    targetLatencyMs: 400,
    maxAttempts: 2,
    priority: 1,
    ...changes,
  };
}

export class Deployment {
  servers = [];
  routers = [];
  #lines = [];
  #startedAt = performance.now();

  /** `net` is a number of its own for each script: routers listen at 127.NET.0.x. */
  static async start(net) {
    const deployment = new Deployment();
    deployment.net = net;
    deployment.folder = mkdtempSync(join(tmpdir(), 'catkinwheel-review-'));
    deployment.store = await Store.start('127.0.0.1');
    return deployment;
  }

  record(line) {
    this.#lines.push(`${(performance.now() - this.#startedAt).toFixed(0).padStart(7)} ms  ${line}`);
  }

  /** Writes a desired state; the store's answer is its acknowledgement. */
  configure(version, routes, services, changes = {}) {
    this.store.put('op', 'config', {
      version,
      routes,
      services,
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
      tenants: [{ name: 'tenant', apiKeys: [key] }],
      ...changes,
    });
    this.record(`desired state ${version} is acknowledged`);
  }

  async addServer(service, options) {
    const id = `i-${service}-${this.servers.length + 1}`;
    const zone = zoneNames[this.servers.length % zoneNames.length];
    const server = new Server(this.store, id, { service, zone, ...options });
    await server.start('127.0.0.1');
    server.register();
    this.servers.push(server);
    this.record(`server ${id} starts at ${server.address}`);
    return server;
  }

  async startRouters(count, options = {}) {
    const ip = (index) => `127.${this.net}.0.${index + 2}`;
    const ports = await freePorts(ip(0));
    const seeds = [0, 1, 2].slice(0, count).map((index) => `${ip(index)}:${ports.control}`);
    for (let index = 0; index < count; index += 1) {
      const zone = zoneNames[index % zoneNames.length];
      const router = new Router({
        name: `front-${zone}-${index + 1}`,
        ip: ip(index),
        ports,
        zone,
        zones,
        store: this.store.address,
        seeds,
        folder: this.folder,
        ...options,
      });
      this.routers.push(router);
      router.start();
    }
    await Promise.all(this.routers.map((router) => router.ready()));
    // Until a router knows the servers and the other routers.
    await pause(1_000);
    this.record(`${count} routers are ready`);
  }

  /** What arrived at the servers, by the id of the request. */
  arrivals() {
    return new Map(
      this.servers.flatMap((server) =>
        server.arrivals.map((arrival) => [arrival.id, { server: server.id, ...arrival }]),
      ),
    );
  }

  /** Records each request: when it was sent, counted from `since`, where it ran and how it was answered. */
  recordAll(outcomes, since) {
    const arrivals = this.arrivals();
    for (const { id, router, isKept, sentAt, endedAt, status, isWhole, error } of outcomes) {
      const { server = 'no server', status: run = '' } = arrivals.get(id) ?? {};
      const channel = isKept === undefined ? '' : isKept ? ', kept channel' : ', new channel';
      const answer = status === 0 ? `no answer (${error})` : `${status}${isWhole ? '' : ' cut'}`;
      this.record(
        `${id}: to ${router}${channel}, sent at ${Math.round(sentAt - since)} ms, at ${server} ${run}, ${answer} after ${Math.round(endedAt - sentAt)} ms`,
      );
    }
  }

  async close() {
    await Promise.all(this.routers.filter(({ isRunning }) => isRunning).map((each) => each.kill()));
    for (const server of this.servers) server.crash();
    this.store.close();
    if (process.env.KEEP === '1') console.log(this.folder);
    else rmSync(this.folder, { recursive: true, force: true });
  }

  write(file) {
    writeFileSync(file, `${this.#lines.join('\n')}\n`);
  }
}

/**
 * Runs a script: `play` gets a deployment and returns the broken promises, one line each. Writes `record.txt` into the folder of
 * the module at `url`.
 */
export async function runCase(url, net, play) {
  const fail = (error) => {
    console.error(error);
    process.exit(codes.couldNotRun);
  };
  process.on('uncaughtException', fail);
  process.on('unhandledRejection', fail);
  const file = new URL('record.txt', url);
  const deployment = await Deployment.start(net);
  let code = codes.couldNotRun;
  try {
    const broken = await play(deployment);
    for (const line of broken) deployment.record(`BROKEN ${line}`);
    deployment.record(broken.length === 0 ? 'the rule held' : `the rule is broken`);
    code = broken.length === 0 ? codes.held : codes.broken;
  } catch (error) {
    deployment.record(`could not run: ${error.stack}`);
  }
  await deployment.close();
  deployment.write(file);
  process.exit(code);
}
