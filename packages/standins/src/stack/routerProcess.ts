// A router of the platform deployment as a process of its own, which can be killed, frozen and stopped.

import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { paths } from '@catkinwheel/platform';
import type { Milliseconds } from '@catkinwheel/state';

const gatewayMain = join(
  dirname(createRequire(import.meta.url).resolve('@catkinwheel/gateway')),
  'main.js',
);
/** Time within which a router has to be ready after its start, with nothing wrong around it. */
const readyWithin: Milliseconds = 10_000;
const askInterval: Milliseconds = 50;
/** Lines of its log that are shown for a router that is not ready in time. */
const loggedLines = 8;
/** Unit of processor times that Linux states for processes, on all its platforms that node runs on. */
const clockTick: Milliseconds = 10;

const running = new Set<ChildProcess>();
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** Ports of a router, the same at every address of a fleet. */
export interface Ports {
  readonly link: number;
  readonly callers: number;
  readonly ready: number;
  readonly control: number;
  readonly directory: number;
}

/** Processor time of a process in its own code and in the operating system. */
export interface ProcessorTime {
  readonly user: Milliseconds;
  readonly system: Milliseconds;
}

/** One router of a fleet at an address of its own. It may be started several times. */
export class RouterProcess {
  #child: ChildProcess | undefined;
  #exited: Promise<number | null> = Promise.resolve(null);
  #starts = 0;

  private constructor(
    readonly name: string,
    private readonly options: {
      readonly ip: string;
      readonly ports: Ports;
      readonly dataCentre: string;
      readonly store: string;
      readonly seeds: readonly string[];
      /** Folder for the settings file and the log. */
      readonly folder: string;
      readonly grace: Milliseconds;
      /** Speed that the platform states for the VM, in cores; 1 if left out. */
      readonly capacity?: number;
      /** Options of node before the program. */
      readonly nodeOptions?: readonly string[];
      /** File of the program; the built one if left out. */
      readonly program?: string;
    },
  ) {}

  static create(name: string, options: RouterProcess['options']): RouterProcess {
    return new RouterProcess(name, options);
  }

  get callers(): string {
    return `${this.options.ip}:${this.options.ports.callers}`;
  }

  /** URL of the metrics. */
  get metrics(): string {
    return `http://${this.options.ip}:${this.options.ports.link + 10}/metrics`;
  }

  /** Tells the runs of the router apart. */
  get run(): number {
    return this.#starts;
  }

  get isRunning(): boolean {
    return this.#child !== undefined;
  }

  /** Resolves with the exit code once the process has ended; with null if a signal ended it. */
  get exited(): Promise<number | null> {
    return this.#exited;
  }

  start(): void {
    const { ip, ports, dataCentre, store, seeds, folder, grace, capacity = 1 } = this.options;
    const { nodeOptions = [], program = gatewayMain } = this.options;
    mkdirSync(folder, { recursive: true });
    const at = (port: number): string => `${ip}:${port}`;
    const file = join(folder, `${this.name}.json`);
    const settings = {
      nodeName: this.name,
      ip,
      zone: dataCentre,
      region: 'viti-levu',
      zones: { suva: 'viti-levu', nadi: 'viti-levu' },
      listen: {
        front: at(ports.callers),
        ready: at(ports.ready),
        control: at(ports.control),
        directory: at(ports.directory),
      },
      internalPorts: [ports.link, ports.link + 20],
      seedNodes: seeds,
      bootstrap: this.#starts === 0,
      limits: { cpuShare: capacity, cpuCores: 1 },
      bounds: { graceS: grace / 1_000, budgetSlack: 54 },
      platform: { address: store },
    };
    writeFileSync(file, JSON.stringify(settings));
    this.#starts += 1;
    const child = spawn(process.execPath, [...nodeOptions, program], {
      env: { PATH: process.env.PATH, CATKINWHEEL_BOOT: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    running.add(child);
    this.#child = child;
    const log = createWriteStream(join(folder, `${this.name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.#exited = new Promise((resolve) => {
      child.on('exit', (code) => {
        running.delete(child);
        if (this.#child === child) this.#child = undefined;
        log.end();
        resolve(code);
      });
    });
  }

  /** Resolves once the router says that it is ready. Rejects if it does not in time. */
  async ready(): Promise<void> {
    const end = Date.now() + readyWithin;
    while (Date.now() < end) {
      if (!this.isRunning)
        throw new Error(
          `${this.name} ended with ${String(await this.#exited)} before it was ready`,
        );
      if (await this.#isReady()) return;
      await pause(askInterval);
    }
    const log = readFileSync(join(this.options.folder, `${this.name}.log`), 'utf8');
    const last = log.split('\n').slice(-loggedLines).join('\n');
    throw new Error(`${this.name} is not ready after ${readyWithin} ms; its last lines: ${last}`);
  }

  async kill(): Promise<void> {
    this.#child?.kill('SIGKILL');
    await this.#exited;
  }

  /** Sends SIGTERM; resolves with the exit code. */
  async stop(): Promise<number | null> {
    this.#child?.kill('SIGTERM');
    return this.#exited;
  }

  /** Memory that the process has in use, in bytes; NaN if it does not run. */
  memory(): number {
    const { pid } = this.#child ?? {};
    if (pid === undefined) return NaN;
    const resident = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
    return Number(resident?.[1]) * 1_024;
  }

  /** Processor time since the start of the process; NaN if it does not run. */
  processorTime(): ProcessorTime {
    const { pid } = this.#child ?? {};
    if (pid === undefined) return { user: NaN, system: NaN };
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    // The name of the command, in parentheses, may contain spaces; the state follows it as the third field.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return { user: Number(fields[11]) * clockTick, system: Number(fields[12]) * clockTick };
  }

  signal(name: NodeJS.Signals): void {
    this.#child?.kill(name);
  }

  /** Replaces fields of the settings file until the next start. */
  changeSettings(changes: Readonly<Record<string, unknown>>): void {
    const file = join(this.options.folder, `${this.name}.json`);
    writeFileSync(file, JSON.stringify({ ...JSON.parse(readFileSync(file, 'utf8')), ...changes }));
  }

  /** Closes the reading ends of standard output and standard error. */
  closeOutput(): void {
    this.#child?.stdout?.destroy();
    this.#child?.stderr?.destroy();
  }

  async #isReady(): Promise<boolean> {
    const { ip, ports } = this.options;
    try {
      const answer = await fetch(`http://${ip}:${ports.ready}${paths.ready}`, {
        signal: AbortSignal.timeout(1_000),
      });
      return answer.status === 200;
    } catch {
      // Not listening yet, or frozen: the caller asks again.
      return false;
    }
  }
}
