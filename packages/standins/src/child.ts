// Handles of the processes that the harness starts. Every child is ended by this parent.

import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import type { Milliseconds } from '@catkinwheel/state';
import type { Notice } from './process.js';

/** Time within which a child must say that it is ready. */
const readyWithin: Milliseconds = 15_000;

/** Lines of a child's output that are kept for a failure report. */
const keptLines = 40;

/** Fields of the line that a child prints when it is ready: addresses by name. */
export type Ready = Readonly<Record<string, string>>;

const children = new Set<ChildProcess>();
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(1));

/** A running child process. */
export class Child {
  readonly name: string;
  readonly ready: Ready;
  /** The exit code, or null if a signal ended the child. */
  readonly exited: Promise<number | null>;
  readonly #process: ChildProcess;
  readonly #lines: string[];

  private constructor(
    name: string,
    ready: Ready,
    child: ChildProcess,
    exited: Promise<number | null>,
    lines: string[],
  ) {
    this.name = name;
    this.ready = ready;
    this.exited = exited;
    this.#process = child;
    this.#lines = lines;
  }

  /** Starts a Node script and waits for its ready line. Rejects if it ends or is late. */
  static async start(
    name: string,
    script: string,
    args: readonly string[],
    notice: (notice: Notice) => void = () => undefined,
  ): Promise<Child> {
    const child = spawn(process.execPath, [script, ...args], { stdio: ['pipe', 'pipe', 'pipe'] });
    children.add(child);
    child.stdin.on('error', () => undefined);
    const exited = new Promise<number | null>((resolve) => {
      child.on('exit', (code) => {
        children.delete(child);
        resolve(code);
      });
    });
    const lines: string[] = [];
    const keep = (line: string): void => {
      lines.push(line);
      if (lines.length > keptLines) lines.shift();
    };
    createInterface({ input: child.stderr }).on('line', keep);
    const ready = new Promise<Ready>((resolve) => {
      createInterface({ input: child.stdout }).on('line', (line) => {
        const fields = noticeIn(line);
        if (fields === undefined) keep(line);
        else if (fields.event === 'ready') resolve(fields);
        else notice(fields);
      });
    });
    const late = new Promise<'late'>((resolve) => {
      setTimeout(resolve, readyWithin, 'late').unref();
    });
    const first = await Promise.race([ready, exited, late]);
    if (first === null || typeof first !== 'object') {
      child.kill('SIGKILL');
      throw new Error(`${name} did not become ready (${String(first)}):\n${lines.join('\n')}`);
    }
    return new Child(name, first, child, exited, lines);
  }

  /** The last lines that the child printed. */
  get output(): string {
    return this.#lines.join('\n');
  }

  get isRunning(): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /** Ends the child at once. */
  async kill(): Promise<void> {
    this.#process.kill('SIGKILL');
    await this.exited;
  }

  /** Stops the child from running until `thaw`. */
  freeze(): void {
    this.#process.kill('SIGSTOP');
  }

  thaw(): void {
    this.#process.kill('SIGCONT');
  }

  signal(name: NodeJS.Signals): void {
    this.#process.kill(name);
  }

  /** Closes the reading ends of its standard output and standard error. */
  closeOutput(): void {
    this.#process.stdout?.destroy();
    this.#process.stderr?.destroy();
  }

  /** Asks the child to end; resolves with its exit code. */
  async stop(): Promise<number | null> {
    this.#process.kill('SIGTERM');
    return this.exited;
  }
}

function noticeIn(line: string): Notice | undefined {
  if (!line.startsWith('{"event":')) return undefined;
  try {
    return JSON.parse(line) as Notice;
  } catch {
    return undefined;
  }
}
