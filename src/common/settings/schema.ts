/** Functions that build a schema. */
import type { Field, Fields, NamedSection, SingleSection, ValueKind } from './Types.js';

/** Key that must be present. */
export function required<Value>(kind: ValueKind<Value>): Field<Value> {
  return { kind, isRequired: true, fallback: undefined };
}

/** Key with a default. */
export function withDefault<Value>(kind: ValueKind<Value>, fallback: Value): Field<Value> {
  return { kind, isRequired: false, fallback };
}

/** Key that can be omitted and has no default. */
export function optional<Value>(kind: ValueKind<Value>): Field<Value | undefined> {
  return { kind, isRequired: false, fallback: undefined };
}

/** Section that occurs once. */
export function single<Members extends Fields>(fields: Members): SingleSection<Members> {
  return { type: 'single', fields };
}

/** Section that occurs once for each name. */
export function named<Members extends Fields>(fields: Members): NamedSection<Members> {
  return { type: 'named', fields };
}
