/** Schemas of the configuration documents in INI files and on the command line. */
import type {
  AccountDocument,
  PresetDocument,
  RouteDocument,
  ServiceDocument,
  ServiceLimits,
} from '../common/configuration/Types.js';
import {
  bandwidth,
  choice,
  count,
  duration,
  flag,
  formatFields,
  list,
  name,
  optional,
  rate,
  readFields,
  required,
  share,
  text,
} from '../common/settings/index.js';
import type { Fields } from '../common/settings/index.js';

/** Largest share of retries at an entry, so that the retries of all entries add at most a tenth of the load. */
const maxRetryShare = 0.1;

const limitValueKinds = {
  floor: count('slots'),
  'max-queue': count('requests'),
  timeout: duration({ min: 1 }),
  rate: rate(),
  'retry-share': share(maxRetryShare),
  'cross-region-rate': bandwidth(),
};

const limitProperties = {
  floor: 'floor',
  'max-queue': 'maxQueue',
  timeout: 'timeout',
  rate: 'rate',
  'retry-share': 'retryShare',
  'cross-region-rate': 'crossRegionRate',
} as const;

/** Keys of one kind of document and the properties that they set. */
export interface DocumentSchema {
  readonly collection: 'services' | 'routes' | 'accounts' | 'presets';
  /** Property that names the document. */
  readonly nameProperty: 'name' | 'id';
  readonly fields: Fields;
  /** Property of the document by key of the file. */
  readonly properties: Readonly<Record<string, string>>;
}

const serviceFields = {
  floor: required(limitValueKinds.floor),
  'max-queue': required(limitValueKinds['max-queue']),
  timeout: required(limitValueKinds.timeout),
  rate: required(limitValueKinds.rate),
  'retry-share': required(limitValueKinds['retry-share']),
  'cross-region-rate': required(limitValueKinds['cross-region-rate']),
};

/** Limits of one service in a preset; an absent limit keeps the value of the service. */
export const limitFields = {
  floor: optional(limitValueKinds.floor),
  'max-queue': optional(limitValueKinds['max-queue']),
  timeout: optional(limitValueKinds.timeout),
  rate: optional(limitValueKinds.rate),
  'retry-share': optional(limitValueKinds['retry-share']),
  'cross-region-rate': optional(limitValueKinds['cross-region-rate']),
};

const routeFields = {
  service: required(name()),
  host: optional(text(/^[a-z0-9.-]+$/, 'a host name in lower case')),
  path: required(text(/^\/\S*$/, 'a path such as /lots')),
  methods: optional(list(choice('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'))),
  class: required(choice('critical', 'interactive', 'bulk')),
  idempotent: optional(flag()),
  timeout: optional(duration({ min: 1 })),
};

/** Schemas by the kind of document, as named in files and commands. */
export const documentSchemas = {
  service: {
    collection: 'services',
    nameProperty: 'name',
    fields: serviceFields,
    properties: limitProperties,
  },
  route: {
    collection: 'routes',
    nameProperty: 'name',
    fields: routeFields,
    properties: {
      service: 'service',
      host: 'host',
      path: 'path',
      methods: 'methods',
      class: 'workClass',
      idempotent: 'isIdempotent',
      timeout: 'timeout',
    },
  },
  account: {
    collection: 'accounts',
    nameProperty: 'id',
    fields: { rate: required(limitValueKinds.rate) },
    properties: { rate: 'rate' },
  },
  preset: {
    collection: 'presets',
    nameProperty: 'name',
    fields: { reason: required(text()) },
    properties: { reason: 'reason' },
  },
} as const satisfies Record<string, DocumentSchema>;

/** Kind of a document, as named in files and commands. */
export type DocumentKind = keyof typeof documentSchemas;

/** Document of a kind that has a schema. */
export type AnyDocument = ServiceDocument | RouteDocument | AccountDocument | PresetDocument;

export function nameOf(document: AnyDocument): string {
  return 'id' in document ? document.id : document.name;
}

function renameKeys(
  values: Readonly<Record<string, unknown>>,
  properties: Readonly<Record<string, string>>,
): Record<string, unknown> {
  const present = Object.entries(values).filter(([, value]) => value !== undefined);
  return Object.fromEntries(present.map(([key, value]) => [properties[key] ?? key, value]));
}

/** Builds a document from the parsed values of its section. */
export function toDocument(
  kind: DocumentKind,
  documentName: string,
  values: Readonly<Record<string, unknown>>,
  {
    properties,
    nameProperty,
  }: Pick<DocumentSchema, 'properties' | 'nameProperty'> = documentSchemas[kind],
): AnyDocument {
  const document = { [nameProperty]: documentName, ...renameKeys(values, properties) };
  return document as unknown as AnyDocument;
}

/** Builds a document from the texts of its keys; mistakes are added to `problems`. */
export function parseDocument(
  kind: DocumentKind,
  documentName: string,
  values: ReadonlyMap<string, string>,
  problems: string[],
): AnyDocument {
  const { fields, properties, nameProperty }: DocumentSchema = documentSchemas[kind];
  const parsed = readFields(`${kind} ${documentName}`, values, fields, problems);
  return toDocument(kind, documentName, parsed, { properties, nameProperty });
}

/** Builds the limits of a service in a preset from the parsed values of a section. */
export function toLimits(values: Readonly<Record<string, unknown>>): Partial<ServiceLimits> {
  return renameKeys(values, limitProperties);
}

/** Texts of a document's keys, without those that it does not set. */
export function formatDocument(
  document: object,
  { fields, properties }: Pick<DocumentSchema, 'fields' | 'properties'>,
): ReadonlyMap<string, string> {
  const source = document as Readonly<Record<string, unknown>>;
  const values = Object.fromEntries(
    Object.entries(properties).map(([key, property]) => [key, source[property]]),
  );
  return formatFields(values, fields);
}

/** Texts of the limits that are set. */
export function formatLimits(limits: Partial<ServiceLimits>): ReadonlyMap<string, string> {
  return formatDocument(limits, { fields: limitFields, properties: limitProperties });
}
