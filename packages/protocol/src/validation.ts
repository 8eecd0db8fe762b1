// A catalogue change takes effect everywhere within seconds, so mistakes are found before it is
// committed: each with the path of the wrong value.

import type { Catalogue, Server, Service, Team } from '@catkinwheel/state';
import type { Codec } from 'purify-ts';
import { drainCodec, entryCodec, serverCodec, serviceCodec, teamCodec } from './catalogueCodec.js';
import { nonNegativeInteger } from './codec.js';
import { decodeAt, type ValidationProblem } from './decode.js';

const sections: Readonly<Record<string, Codec<unknown>>> = {
  services: serviceCodec as Codec<unknown>,
  servers: serverCodec as Codec<unknown>,
  teams: teamCodec as Codec<unknown>,
  entries: entryCodec as Codec<unknown>,
};

type Document = Readonly<Record<string, unknown>>;

/** Every problem of a document that should be a catalogue. `revision` and `drain` may be left out. */
export function validateCatalogue(document: unknown): readonly ValidationProblem[] {
  if (!isDocument(document)) {
    return [{ path: [], detail: `expected the sections ${Object.keys(sections).join(', ')}` }];
  }
  const illTyped = [...unknownSections(document), ...illTypedParts(document)];
  if (illTyped.length > 0) return illTyped;
  return referenceProblems(document as unknown as Catalogue);
}

function unknownSections(document: Document): readonly ValidationProblem[] {
  const known = new Set([...Object.keys(sections), 'revision', 'drain']);
  return Object.keys(document)
    .filter((key) => !known.has(key))
    .map((key) => ({ path: [key], detail: `unknown field, expected ${[...known].join(', ')}` }));
}

function illTypedParts(document: Document): readonly ValidationProblem[] {
  const problems = Object.entries(sections).flatMap(([section, codec]) =>
    sectionProblems(section, codec, document[section]),
  );
  const optional: readonly (readonly [string, Codec<unknown>])[] = [
    ['revision', nonNegativeInteger as Codec<unknown>],
    ['drain', drainCodec as Codec<unknown>],
  ];
  for (const [key, codec] of optional) {
    if (document[key] === undefined) continue;
    decodeAt([key], codec, document[key]).mapErr((problem) => problems.push(problem));
  }
  return problems;
}

function sectionProblems(
  section: string,
  codec: Codec<unknown>,
  part: unknown,
): ValidationProblem[] {
  if (!isDocument(part)) {
    return [{ path: [section], detail: 'expected an object from names to values' }];
  }
  return Object.entries(part).flatMap(([name, value]) => {
    if (name === '__proto__' || !/^[\w.-]{1,100}$/.test(name)) {
      const detail = 'expected a name of 1 to 100 letters, digits, dots, hyphens or underscores';
      return [{ path: [section, name], detail }];
    }
    const part = decodeAt([section, name], codec, value);
    return part.isErr() ? [part.error] : [];
  });
}

function referenceProblems(catalogue: Catalogue): readonly ValidationProblem[] {
  return [
    ...Object.entries(catalogue.services).flatMap(([name, service]) => limits(name, service)),
    ...serverProblems(catalogue),
    ...keyProblems(catalogue.teams),
    ...Object.entries(catalogue.entries).flatMap(([name, entry]) => [
      ...unknown(['entries', name, 'team'], entry.team, catalogue.teams, 'team'),
      ...unknown(['entries', name, 'service'], entry.service, catalogue.services, 'service'),
    ]),
  ];
}

function limits(name: string, service: Service): readonly ValidationProblem[] {
  if (service.warmLimit >= service.coldLimit) return [];
  const detail = `expected at least coldLimit (${service.coldLimit}), found ${service.warmLimit}`;
  return [{ path: ['services', name, 'warmLimit'], detail }];
}

function serverProblems(catalogue: Catalogue): readonly ValidationProblem[] {
  const addresses = new Map<string, string>();
  return Object.entries(catalogue.servers).flatMap(([name, server]: [string, Server]) => {
    const other = addresses.get(server.address);
    addresses.set(server.address, name);
    const detail = `${server.address} is already the address of server ${other ?? ''}`;
    return [
      ...unknown(['servers', name, 'service'], server.service, catalogue.services, 'service'),
      ...(other === undefined ? [] : [{ path: ['servers', name, 'address'], detail }]),
    ];
  });
}

/** A key must identify one team. */
function keyProblems(teams: Readonly<Record<string, Team>>): readonly ValidationProblem[] {
  const owners = new Map<string, string>();
  return Object.entries(teams).flatMap(([name, team]) =>
    team.keys.flatMap((key, index) => {
      const owner = owners.get(key);
      owners.set(key, name);
      if (owner === undefined) return [];
      const detail = `the key is already a key of team ${owner}`;
      return [{ path: ['teams', name, 'keys', String(index)], detail }];
    }),
  );
}

function unknown(
  path: readonly string[],
  name: string,
  part: Readonly<Record<string, unknown>>,
  what: string,
): readonly ValidationProblem[] {
  if (Object.hasOwn(part, name)) return [];
  return [{ path, detail: `expected the name of a ${what} of this catalogue, found "${name}"` }];
}

function isDocument(input: unknown): input is Document {
  return typeof input === 'object' && input !== null && !Array.isArray(input);
}
