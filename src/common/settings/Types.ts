/** Types of the settings reader. */
import type { Either } from 'fp-ts/lib/Either.js';

/** Parser and formatter of one kind of value in an INI file. */
export interface ValueKind<Value> {
  /** Description of the allowed values for error messages, such as `a duration such as 250 ms or 3 s`. */
  readonly allowed: string;
  /** Parses a value; the left side describes the error. */
  readonly parse: (text: string) => Either<string, Value>;
  /** Formats a value as text that `parse` accepts. */
  format(value: Value): string;
}

/** One key of a section. */
export interface Field<Value> {
  readonly kind: ValueKind<Value>;
  readonly isRequired: boolean;
  /** Value of an absent key that is not required. */
  readonly fallback: Value | undefined;
}

/** Fields of a section by key. */
export type Fields = Readonly<Record<string, Field<unknown>>>;

/** Section that occurs once: `[daemon]`. It can be omitted if none of its keys is required. */
export interface SingleSection<Members extends Fields = Fields> {
  readonly type: 'single';
  readonly fields: Members;
}

/** Section that occurs once for each name: `[service catalogo]`. */
export interface NamedSection<Members extends Fields = Fields> {
  readonly type: 'named';
  readonly fields: Members;
}

/** Sections of a file by the first word of their heading. */
export type Schema = Readonly<Record<string, SingleSection | NamedSection>>;

/** Values of a section. */
export type FieldValues<Members extends Fields> = {
  readonly [Key in keyof Members]: Members[Key] extends Field<infer Value> ? Value : never;
};

/** Values of a file: an object for each single section, a map by section name for each named one. */
export type Settings<Shape extends Schema> = {
  readonly [Name in keyof Shape]: Shape[Name] extends NamedSection<infer Members>
    ? ReadonlyMap<string, FieldValues<Members>>
    : Shape[Name] extends SingleSection<infer Members>
      ? FieldValues<Members>
      : never;
};
