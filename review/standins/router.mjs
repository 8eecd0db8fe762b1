// The platform's part in running a router: writes the settings file, starts the command of the deploy file, and sends signals.

import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));
const children = new Set();
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
// A script that is told to stop could not run; `exit` ends its routers.
for (const name of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(name, () => process.exit(2));

/** The words of the `run` line of the deploy file. */
function command() {
  const line = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'));
  return line[1].split(' ');
}

/** Ports that are free at `ip`: those of a router are the same at all machines of a day. */
export async function freePorts(ip) {
  const servers = [];
  for (let count = 0; count < 5; count += 1) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, ip, resolve));
    servers.push(server);
  }
  const [front, ready, control, directory, internal] = servers.map(({ address }, index) =>
    Number(servers[index].address().port),
  );
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return { front, ready, control, directory, internal };
}

export class Router {
  #child;
  #starts = 0;

  /** `options`: name, ip, ports, zone, zones, store, seeds, folder, bounds and limits. */
  constructor(options) {
    this.options = options;
    const { ip, ports } = options;
    this.front = `${ip}:${ports.front}`;
  }

  get pid() {
    return this.#child?.pid;
  }

  get isRunning() {
    return this.#child !== undefined;
  }

  start() {
    const { name, ip, ports, zone, zones, store, seeds, folder } = this.options;
    const { bounds = {}, limits = {} } = this.options;
    const at = (port) => `${ip}:${port}`;
    const file = join(folder, `${name}.json`);
    const settings = {
      nodeName: name,
      role: 'router',
      machineClass: 'front',
      serves: ['front', 'control', 'directory'],
      ip,
      zone,
      region: zones[zone],
      zones,
      listen: {
        front: at(ports.front),
        ready: at(ports.ready),
        control: at(ports.control),
        directory: at(ports.directory),
      },
      internalPorts: [ports.internal, ports.internal + 15],
      seedNodes: seeds,
      bootstrap: this.#starts === 0,
      inTolerance: true,
      limits: { cpuShare: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4100, ...limits },
      dataDir: null,
      discovery: 'platform',
      entry: 'directory',
      heartbeatMs: 1200,
      bounds: {
        stableMs: 3000,
        drainTimeoutMs: 2000,
        graceS: 8,
        lostMs: 200,
        configApplyMs: 2000,
        budgetRatio: 0.2,
        budgetWindowS: 10,
        budgetSlack: 54,
        coldOver: 1.5,
        coldSlack: 5,
        ...bounds,
      },
      platform: { address: store, form: 'table' },
    };
    writeFileSync(file, JSON.stringify(settings));
    this.#starts += 1;
    const [program, ...words] = command();
    const child = spawn(program, words, {
      cwd: root,
      env: { PATH: process.env.PATH, CATKINWHEEL_BOOT: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    children.add(child);
    this.#child = child;
    const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.exited = new Promise((resolve) => {
      child.on('exit', (code, signal) => {
        children.delete(child);
        if (this.#child === child) this.#child = undefined;
        resolve({ code, signal, at: performance.now() });
      });
    });
  }

  signal(name) {
    this.#child?.kill(name);
  }

  /** Resolves once the router says that it is ready. */
  async ready(within = 15_000) {
    const { ip, ports } = this.options;
    const end = performance.now() + within;
    while (performance.now() < end) {
      try {
        const address = `http://${ip}:${ports.ready}/-/ready`;
        const { status } = await fetch(address, { signal: AbortSignal.timeout(1_000) });
        if (status === 200) return;
      } catch {
        // It does not listen yet.
      }
      await pause(50);
    }
    throw new Error(`${this.options.name} is not ready in time`);
  }

  async kill() {
    this.signal('SIGKILL');
    await this.exited;
  }
}
