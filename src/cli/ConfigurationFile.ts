import { isLeft, left, right } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import { safe } from 'ini';
import { InvalidInputError } from '../common/base/index.js';
import type {
  AccountDocument,
  PresetDocument,
  RouteDocument,
  ServiceDocument,
  ServiceLimits,
} from '../common/configuration/Types.js';
import {
  SettingsReader,
  count,
  duration,
  integer,
  named,
  optional,
  required,
  single,
} from '../common/settings/index.js';
import {
  documentSchemas,
  formatDocument,
  formatLimits,
  limitFields,
  toDocument,
  toLimits,
} from './documentSchemas.js';

/** Capacity that an operator expects a service to have. Only checks use it; it is not stored. */
export interface ExpectedCapacity {
  readonly targets: number;
  /** Slots of one target. */
  readonly slots: number;
  /** Usual service time of a request in milliseconds. */
  readonly serviceTime: number | undefined;
}

/** Content of one configuration file. */
export interface ConfigurationDraft {
  /** Revision that the file is based on. */
  readonly base: number | undefined;
  readonly services: readonly ServiceDocument[];
  readonly routes: readonly RouteDocument[];
  readonly accounts: readonly AccountDocument[];
  readonly presets: readonly PresetDocument[];
  readonly capacities: ReadonlyMap<string, ExpectedCapacity>;
}

const reader = new SettingsReader({
  base: single({ revision: optional(integer()) }),
  service: named(documentSchemas.service.fields),
  route: named(documentSchemas.route.fields),
  account: named(documentSchemas.account.fields),
  preset: named(documentSchemas.preset.fields),
  limits: named(limitFields),
  capacity: named({
    targets: required(integer({ min: 1 })),
    slots: required(count('slots', { min: 1 })),
    'service-time': optional(duration({ min: 1 })),
  }),
});

const namePattern = /^[a-z0-9][a-z0-9._-]{0,62}$/;

function findNameProblems(file: string, kind: string, names: Iterable<string>): string[] {
  return [...names]
    .filter((name) => !namePattern.test(name))
    .map(
      (name) =>
        `${file}: section [${kind} ${name}]: "${name}" is not a name; allowed: at most 63 lower-case letters, digits, dots, underscores and hyphens`,
    );
}

/** Groups the sections `[limits PRESET SERVICE]` by preset. */
function groupLimits(
  file: string,
  presets: Iterable<string>,
  sections: ReadonlyMap<string, object>,
  problems: string[],
): Map<string, Record<string, Partial<ServiceLimits>>> {
  const groups = new Map([...presets].map((preset) => [preset, {}]));
  sections.forEach((values, heading) => {
    const [preset = '', service, ...rest] = heading.split(' ');
    const group: Record<string, Partial<ServiceLimits>> | undefined = groups.get(preset);
    if (service === undefined || rest.length > 0 || group === undefined) {
      problems.push(
        `${file}: section [limits ${heading}] is wrong; allowed: [limits PRESET SERVICE] with a preset of this file`,
      );
      return;
    }
    group[service] = toLimits(values as Record<string, unknown>);
  });
  return groups;
}

/** Reads a file of services, routes, accounts and presets; reports all mistakes at once. */
export function readConfigurationFile(
  file: string,
  content: string,
): Either<InvalidInputError, ConfigurationDraft> {
  const result = reader.read(file, content);
  if (isLeft(result)) return result;
  const { base, service, route, account, preset, limits, capacity } = result.right;
  const problems = Object.entries({ service, route, account, preset }).flatMap(([kind, sections]) =>
    findNameProblems(file, kind, sections.keys()),
  );
  const limitsByPreset = groupLimits(file, preset.keys(), limits, problems);
  if (problems.length > 0) return left(new InvalidInputError(problems, { step: 'settings.read' }));
  const toDocuments = <Document>(
    kind: keyof typeof documentSchemas,
    sections: ReadonlyMap<string, object>,
  ): Document[] =>
    [...sections].map(
      ([name, values]) => toDocument(kind, name, values as Record<string, unknown>) as Document,
    );
  return right({
    base: base.revision,
    services: toDocuments<ServiceDocument>('service', service),
    routes: toDocuments<RouteDocument>('route', route),
    accounts: toDocuments<AccountDocument>('account', account),
    presets: toDocuments<PresetDocument>('preset', preset).map((document) => ({
      ...document,
      services: limitsByPreset.get(document.name) ?? {},
    })),
    capacities: new Map(
      [...capacity].map(([name, { targets, slots, 'service-time': serviceTime }]) => [
        name,
        { targets, slots, serviceTime },
      ]),
    ),
  });
}

function formatSection(heading: string, values: ReadonlyMap<string, string>): string {
  return [`[${heading}]`, ...[...values].map(([key, value]) => `${key} = ${safe(value)}`)].join(
    '\n',
  );
}

/** Formats a preset as an INI file for `readConfigurationFile`, with the revision as its base. */
export function formatPreset(preset: PresetDocument, revision: number): string {
  const sections = [
    formatSection('base', new Map([['revision', String(revision)]])),
    formatSection(`preset ${preset.name}`, formatDocument(preset, documentSchemas.preset)),
    ...Object.entries(preset.services).map(([service, limits]) =>
      formatSection(`limits ${preset.name} ${service}`, formatLimits(limits)),
    ),
  ];
  return sections.join('\n\n');
}
