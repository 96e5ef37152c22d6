import { isLeft } from 'fp-ts/lib/Either.js';
import type { Field, Fields, FieldValues } from './Types.js';

function readField(
  at: string,
  value: string | undefined,
  { kind, isRequired, fallback }: Field<unknown>,
  problems: string[],
): unknown {
  if (value === undefined) {
    if (isRequired) problems.push(`${at} is missing; allowed: ${kind.allowed}`);
    return fallback;
  }
  const result = kind.parse(value);
  if (!isLeft(result)) return result.right;
  problems.push(`${at}: "${value}": ${result.left}; allowed: ${kind.allowed}`);
  return fallback;
}

/**
 * Reads the values of one section.
 *
 * @param at Where the section stands, for messages.
 * @param problems Receives a message for each mistake; the result is of use only if none was added.
 */
export function readFields<Members extends Fields>(
  at: string,
  values: ReadonlyMap<string, string>,
  fields: Members,
  problems: string[],
): FieldValues<Members> {
  [...values.keys()]
    .filter((key) => !Object.hasOwn(fields, key))
    .forEach((key) => {
      problems.push(`${at}: key "${key}" is unknown; allowed: ${Object.keys(fields).join(', ')}`);
    });
  const entries = Object.entries(fields).map(([key, field]) => [
    key,
    readField(`${at}: key "${key}"`, values.get(key), field, problems),
  ]);
  return Object.fromEntries(entries) as FieldValues<Members>;
}

/** Writes values as text, without those that are absent. Reverses `readFields`. */
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
