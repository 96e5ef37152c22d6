import { isLeft, left, right } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import { InvalidInputError } from '../base/index.js';
import { IniFile } from './IniFile.js';
import type { IniSection } from './IniFile.js';
import type { Field, Fields, Schema, Settings } from './Types.js';

/** Exit code of a process whose settings or configuration files are wrong (EX_CONFIG of sysexits). */
export const badSettingsExitCode = 78;

/** Reads INI files by a schema and reports all mistakes of a file at once. */
export class SettingsReader<Shape extends Schema> {
  public constructor(private readonly schema: Shape) {}

  /**
   * Reads the content of a file.
   *
   * @param file Name of the file, for messages only.
   */
  public read(file: string, content: string): Either<InvalidInputError, Settings<Shape>> {
    const ini = new IniFile(file, content);
    const problems = [...ini.problems];
    ini.sections.forEach((section) => problems.push(...this.checkSection(file, section)));
    const values = Object.fromEntries(
      Object.entries(this.schema).map(([kind, { type, fields }]) => {
        const sections = ini.sections.filter((section) => section.kind === kind);
        if (type === 'named') return [kind, this.readNamed(file, sections, fields, problems)];
        const section = sections[0] ?? { kind, name: '', heading: kind, values: new Map() };
        return [kind, this.readFields(file, section, fields, problems)];
      }),
    );
    if (problems.length > 0) {
      return left(new InvalidInputError(problems, { step: 'settings.read' }));
    }
    return right(values as Settings<Shape>);
  }

  private checkSection(file: string, { kind, name, heading }: IniSection): string[] {
    const shape = Object.hasOwn(this.schema, kind) ? this.schema[kind] : undefined;
    const at = `${file}: section [${heading}]`;
    if (shape === undefined) return [`${at} is unknown; allowed: ${this.describeSections()}`];
    if (shape.type === 'named' && name === '') return [`${at} needs a name: [${kind} NAME]`];
    if (shape.type === 'single' && name !== '') return [`${at} takes no name; allowed: [${kind}]`];
    return [];
  }

  private describeSections(): string {
    return Object.entries(this.schema)
      .map(([kind, { type }]) => (type === 'named' ? `[${kind} NAME]` : `[${kind}]`))
      .join(', ');
  }

  private readNamed(
    file: string,
    sections: readonly IniSection[],
    fields: Fields,
    problems: string[],
  ): ReadonlyMap<string, Record<string, unknown>> {
    return new Map(
      sections.map((section) => [section.name, this.readFields(file, section, fields, problems)]),
    );
  }

  private readFields(
    file: string,
    section: IniSection,
    fields: Fields,
    problems: string[],
  ): Record<string, unknown> {
    const at = `${file}: section [${section.heading}]`;
    [...section.values.keys()]
      .filter((key) => !Object.hasOwn(fields, key))
      .forEach((key) => {
        problems.push(`${at}: key "${key}" is unknown; allowed: ${Object.keys(fields).join(', ')}`);
      });
    return Object.fromEntries(
      Object.entries(fields).map(([key, field]) => [
        key,
        this.readField(`${at}: key "${key}"`, section.values.get(key), field, problems),
      ]),
    );
  }

  private readField(
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
}
