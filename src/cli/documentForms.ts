/** How the documents of the configuration are written in INI files and on the command line. */
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

/** Greatest share of retries, so that the sum over all entries adds at most a tenth of the load. */
const maxRetryShare = 0.1;

const limitKinds = {
  floor: count('slots'),
  'max-queue': count('requests'),
  timeout: duration({ least: 1 }),
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

/** Form of one kind of document. */
export interface DocumentForm {
  readonly collection: 'services' | 'routes' | 'accounts' | 'presets';
  /** Property that names the document. */
  readonly nameProperty: 'name' | 'id';
  readonly fields: Fields;
  /** Property of the document for each key of the file. */
  readonly properties: Readonly<Record<string, string>>;
}

const serviceFields = {
  floor: required(limitKinds.floor),
  'max-queue': required(limitKinds['max-queue']),
  timeout: required(limitKinds.timeout),
  rate: required(limitKinds.rate),
  'retry-share': required(limitKinds['retry-share']),
  'cross-region-rate': required(limitKinds['cross-region-rate']),
};

/** Limits of one service in a preset; an absent one is that of the service. */
export const limitFields = {
  floor: optional(limitKinds.floor),
  'max-queue': optional(limitKinds['max-queue']),
  timeout: optional(limitKinds.timeout),
  rate: optional(limitKinds.rate),
  'retry-share': optional(limitKinds['retry-share']),
  'cross-region-rate': optional(limitKinds['cross-region-rate']),
};

const routeFields = {
  service: required(name()),
  host: optional(text(/^[a-z0-9.-]+$/, 'a host name in lower case')),
  path: required(text(/^\/\S*$/, 'a path such as /lots')),
  methods: optional(list(choice('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'))),
  class: required(choice('critical', 'interactive', 'bulk')),
  idempotent: optional(flag()),
  timeout: optional(duration({ least: 1 })),
};

/** Forms by the word that names them in files and commands. */
export const documentForms = {
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
    fields: { rate: required(limitKinds.rate) },
    properties: { rate: 'rate' },
  },
  preset: {
    collection: 'presets',
    nameProperty: 'name',
    fields: { reason: required(text()) },
    properties: { reason: 'reason' },
  },
} as const satisfies Record<string, DocumentForm>;

/** Word of a kind of document. */
export type DocumentNoun = keyof typeof documentForms;

/** Any document of the configuration that has a form. */
export type AnyDocument = ServiceDocument | RouteDocument | AccountDocument | PresetDocument;

/** Name of a document. */
export function nameOf(document: AnyDocument): string {
  return 'id' in document ? document.id : document.name;
}

function rename(
  values: Readonly<Record<string, unknown>>,
  properties: Readonly<Record<string, string>>,
): Record<string, unknown> {
  const present = Object.entries(values).filter(([, value]) => value !== undefined);
  return Object.fromEntries(present.map(([key, value]) => [properties[key] ?? key, value]));
}

/** Builds a document from the values of its section. */
export function toDocument(
  noun: DocumentNoun,
  documentName: string,
  values: Readonly<Record<string, unknown>>,
  { properties, nameProperty }: Pick<DocumentForm, 'properties' | 'nameProperty'> = documentForms[
    noun
  ],
): AnyDocument {
  const document = { [nameProperty]: documentName, ...rename(values, properties) };
  return document as unknown as AnyDocument;
}

/** Reads the text of a document's keys; a mistake is added to `problems`. */
export function readDocument(
  noun: DocumentNoun,
  documentName: string,
  values: ReadonlyMap<string, string>,
  problems: string[],
): AnyDocument {
  const { fields, properties, nameProperty }: DocumentForm = documentForms[noun];
  const read = readFields(`${noun} ${documentName}`, values, fields, problems);
  return toDocument(noun, documentName, read, { properties, nameProperty });
}

/** Builds the limits of a preset from the values of a section. */
export function toLimits(values: Readonly<Record<string, unknown>>): Partial<ServiceLimits> {
  return rename(values, limitProperties);
}

/** Text of each key of a document that is present. */
export function formatDocument(
  document: object,
  { fields, properties }: Pick<DocumentForm, 'fields' | 'properties'>,
): ReadonlyMap<string, string> {
  const source = document as Readonly<Record<string, unknown>>;
  const values = Object.fromEntries(
    Object.entries(properties).map(([key, property]) => [key, source[property]]),
  );
  return formatFields(values, fields);
}

/** Text of the limits that are present. */
export function formatLimits(limits: Partial<ServiceLimits>): ReadonlyMap<string, string> {
  return formatDocument(limits, { fields: limitFields, properties: limitProperties });
}
