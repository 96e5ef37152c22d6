import { isLeft } from 'fp-ts/lib/Either.js';
import type { Field, Fields, FieldValues } from './Types.js';

function readField(
  location: string,
  value: string | undefined,
  { kind, isRequired, fallback }: Field<unknown>,
  problems: string[],
): unknown {
  if (value === undefined) {
    if (isRequired) problems.push(`${location} is missing; allowed: ${kind.allowed}`);
    return fallback;
  }
  const result = kind.parse(value);
  if (!isLeft(result)) return result.right;
  problems.push(`${location}: "${value}": ${result.left}; allowed: ${kind.allowed}`);
  return fallback;
}

/**
 * Reads the values of one section.
 *
 * @param location File and section, for messages.
 * @param problems Receives a message for each error; the result is valid only if none was added.
 */
export function readFields<Members extends Fields>(
  location: string,
  values: ReadonlyMap<string, string>,
  fields: Members,
  problems: string[],
): FieldValues<Members> {
  [...values.keys()]
    .filter((key) => !Object.hasOwn(fields, key))
    .forEach((key) => {
      problems.push(
        `${location}: key "${key}" is unknown; allowed: ${Object.keys(fields).join(', ')}`,
      );
    });
  const entries = Object.entries(fields).map(([key, field]) => [
    key,
    readField(`${location}: key "${key}"`, values.get(key), field, problems),
  ]);
  return Object.fromEntries(entries) as FieldValues<Members>;
}

/** Formats values as text and omits undefined ones. Inverse of `readFields`. */
export function formatFields<Members extends Fields>(
  values: Partial<FieldValues<Members>>,
  fields: Members,
): ReadonlyMap<string, string> {
  const present = Object.entries(fields).filter(
    ([key]) => (values as Record<string, unknown>)[key] !== undefined,
  );
  return new Map(
    present.map(([key, { kind }]) => [key, kind.format((values as Record<string, unknown>)[key])]),
  );
}
