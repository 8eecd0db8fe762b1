// The first commands in a fresh clone. Commands are linked at install, before anything is built, and npx asks the package registry
// for a command that is not linked.

import assert from 'node:assert/strict';
import { execFile, type ExecFileException } from 'node:child_process';
import { cpSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';

const repository = fileURLToPath(new URL('../../..', import.meta.url));
/** No registry is asked: what is not in npm's cache cannot be installed. */
const offline = { npm_config_offline: 'true' };
const installTime = 120_000;

interface Run {
  readonly code: number;
  readonly output: string;
}

let clone = '';

function run(command: string, ...parameters: readonly string[]): Promise<Run> {
  const environment = { ...process.env, ...offline };
  return new Promise((resolve) => {
    execFile(
      command,
      [...parameters],
      { cwd: clone === '' ? repository : clone, env: environment, timeout: installTime },
      (error: ExecFileException | null, stdout, stderr) => {
        const code = error === null ? 0 : Number(error.code ?? -1);
        resolve({ code, output: stdout + stderr });
      },
    );
  });
}

before(async () => {
  const { output } = await run('git', 'ls-files');
  clone = mkdtempSync(join(tmpdir(), 'catkinwheel-clone-'));
  for (const file of output.split('\n').filter((name) => name !== '' && !isLarge(name)))
    cpSync(join(repository, file), join(clone, file));
  // The packages come from the cache that the installation of this repository has filled.
  const { code, output: told } = await run('npm', 'ci', '--ignore-scripts', '--no-audit');
  assert.equal(code, 0, told);
});

after(() => {
  rmSync(clone, { recursive: true, force: true });
});

/** Recorded plays and pages, which no command needs. */
function isLarge(file: string): boolean {
  return ['journal', 'docs'].includes(dirname(file).split('/')[0] ?? '');
}

const commands = ['catkinwheel', 'catkinwheeld', 'catkinwheel-gateway'];

for (const command of commands)
  // Guards against a program of that name from the registry.
  test(`${command} says before the build what is missing`, async () => {
    const { code, output } = await run('npx', command, '--help');
    assert.equal(code, 1);
    assert.match(output, /not built yet/);
  });

// Guards against commands that are linked only if the build came before the installation.
test('the commands run once the packages are built', async () => {
  for (const name of ['state', 'protocol', 'transport', 'coordination', 'gateway', ...commands])
    if (name !== 'catkinwheel-gateway')
      cpSync(join(repository, 'packages', name, 'dist'), join(clone, 'packages', name, 'dist'), {
        recursive: true,
      });
  cpSync(join(repository, 'platform', 'dist'), join(clone, 'platform', 'dist'), {
    recursive: true,
  });
  for (const command of ['catkinwheel', 'catkinwheeld']) {
    const { code, output } = await run('npx', command, '--help');
    assert.equal(code, 0, output);
    assert.match(output, new RegExp(`${command}[\\s\\S]*--help`));
  }
  const { code, output } = await run('npx', 'catkinwheel-gateway');
  assert.equal(code, 2, output);
  assert.match(output, /CATKINWHEEL_BOOT is not set/);
});
