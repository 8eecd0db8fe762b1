import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ProcessSignals } from './processSignals.js';

function record(isAtTerminal: boolean): { readonly signals: ProcessSignals; taken: string[] } {
  const taken: string[] = [];
  const signals = ProcessSignals.catch(() => isAtTerminal);
  signals.handle({
    stop: () => taken.push('stop'),
    abort: () => taken.push('abort'),
    reload: () => taken.push('reload'),
  });
  return { signals, taken };
}

function send(...names: readonly NodeJS.Signals[]): void {
  for (const name of names) process.emit(name, name);
}

// Guards against a second signal of a service manager that ends a graceful stop.
test('a stop begins once and ends at once only for a further SIGINT from a terminal', () => {
  const service = record(false);
  const terminal = record(true);
  send('SIGHUP', 'SIGTERM', 'SIGTERM', 'SIGHUP');
  assert.deepEqual(terminal.taken, ['reload', 'stop']);
  send('SIGINT', 'SIGINT', 'SIGTERM');
  assert.deepEqual(service.taken, ['reload', 'stop']);
  assert.deepEqual(terminal.taken, ['reload', 'stop', 'abort']);
});

// Guards against signals that are lost because they come before the program has started.
test('signals that came before the program handles them are acted on', () => {
  const signals = ProcessSignals.catch(() => false);
  send('SIGHUP', 'SIGTERM');
  const taken: string[] = [];
  signals.handle({ stop: () => taken.push('stop'), reload: () => taken.push('reload') });
  assert.deepEqual(taken, ['stop']);
});
