/** Comparison of two configurations. */
import type { ConfigurationContent } from '../common/configuration/Types.js';

/** Change of one property. */
export interface PropertyChange {
  /** Path such as `floor` or `services.pujas.floor`. */
  readonly property: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** Change of one document. */
export interface DocumentChange {
  /** Kind and name, such as `service pujas`. */
  readonly document: string;
  readonly type: 'added' | 'removed' | 'changed';
  readonly properties: readonly PropertyChange[];
}

/** Document name under which a change of the preset in force is listed. */
export const presetInForce = 'preset in force';

const kindByCollection: Readonly<Record<Exclude<keyof ConfigurationContent, 'preset'>, string>> = {
  services: 'service',
  routes: 'route',
  accounts: 'account',
  presets: 'preset',
  pauses: 'pause',
  holds: 'hold',
};

/** Key of a document, unique within its kind. */
function identityOf(document: object): string {
  const { name, id, target, automation, service } = document as Readonly<Record<string, unknown>>;
  if (automation !== undefined) return `${String(automation)} ${String(service ?? 'all services')}`;
  return String(name ?? id ?? target);
}

function flatten(value: unknown, path: string): [string, unknown][] {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return [[path, value]];
  return Object.entries(value).flatMap(([key, member]) =>
    flatten(member, path === '' ? key : `${path}.${key}`),
  );
}

function compareProperties(before: object, after: object): PropertyChange[] {
  const [old, recent] = [new Map(flatten(before, '')), new Map(flatten(after, ''))];
  return [...new Set([...old.keys(), ...recent.keys()])]
    .filter(
      (property) => JSON.stringify(old.get(property)) !== JSON.stringify(recent.get(property)),
    )
    .map((property) => ({
      property,
      before: old.get(property),
      after: recent.get(property),
    }));
}

function compareDocument(
  document: string,
  before: object | undefined,
  after: object | undefined,
): DocumentChange[] {
  const properties = compareProperties(before ?? {}, after ?? {});
  if (before === undefined) return [{ document, type: 'added', properties }];
  if (after === undefined) return [{ document, type: 'removed', properties }];
  return properties.length === 0 ? [] : [{ document, type: 'changed', properties }];
}

/** Lists the differences; a change of the preset in force is listed as the document `preset in force`. */
export function compareConfigurations(
  before: ConfigurationContent,
  after: ConfigurationContent,
): DocumentChange[] {
  const presetChanges =
    before.preset === after.preset
      ? []
      : [
          {
            document: presetInForce,
            type: 'changed' as const,
            properties: [{ property: 'name', before: before.preset, after: after.preset }],
          },
        ];
  const documents = Object.entries(kindByCollection).flatMap(([collection, kind]) => {
    const [old, recent] = [before, after].map(
      (content) =>
        new Map(
          (content[collection as keyof typeof kindByCollection] as readonly object[]).map(
            (document) => [identityOf(document), document],
          ),
        ),
    );
    return [...new Set([...(old?.keys() ?? []), ...(recent?.keys() ?? [])])].flatMap((name) =>
      compareDocument(`${kind} ${name}`, old?.get(name), recent?.get(name)),
    );
  });
  return [...presetChanges, ...documents];
}

function formatValue(value: unknown): string {
  return value === undefined ? '(absent)' : JSON.stringify(value);
}

/** Formats differences as indented lines. */
export function formatChanges(changes: readonly DocumentChange[]): string[] {
  return changes.flatMap(({ document, type, properties }) => [
    `  ${type} ${document}`,
    ...properties.map(
      ({ property, before, after }) =>
        `    ${property}: ${formatValue(before)} -> ${formatValue(after)}`,
    ),
  ]);
}

/** Names of the documents that both lists change. */
export function findOverlap(
  ours: readonly DocumentChange[],
  theirs: readonly DocumentChange[],
): string[] {
  const touched = new Set(theirs.map(({ document }) => document));
  return ours.map(({ document }) => document).filter((document) => touched.has(document));
}
