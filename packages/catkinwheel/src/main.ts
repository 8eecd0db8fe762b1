#!/usr/bin/env node
// Entry point of the operators' command line: runs a command, prints its outcome and sets the exit code.

import { parse, type Invocation } from './cli.js';
import { exitCodes, type Outcome } from './outcome.js';

process.exitCode = await main();

async function main(): Promise<number> {
  const invocation = parseArguments();
  if (invocation === undefined) return exitCodes.done;
  const outcome = await invocation.run();
  print(outcome, invocation.json);
  return outcome.code;
}

/** On wrong usage the parser ends the process with code 1, but the documented code is 2. */
function parseArguments(): Invocation | undefined {
  const exitWithUsageCode = (): void => {
    process.exitCode = exitCodes.usage;
  };
  process.once('exit', exitWithUsageCode);
  const invocation = parse(process.argv, process.env);
  process.off('exit', exitWithUsageCode);
  return invocation;
}

/** Results go to standard output; without `--json`, failures go to standard error. */
function print(outcome: Outcome, isJson: boolean): void {
  if (isJson) console.log(JSON.stringify(outcome.json, null, 2));
  else if (outcome.code === exitCodes.done) console.log(outcome.text);
  else console.error(outcome.text);
}
