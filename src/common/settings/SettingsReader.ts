import { left, right } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import { InvalidInputError } from '../base/index.js';
import { IniFile } from './IniFile.js';
import type { IniSection } from './IniFile.js';
import { readFields } from './readFields.js';
import type { Fields, Schema, Settings } from './Types.js';

/** Exit code of a process whose settings or configuration files are wrong (EX_CONFIG of sysexits). */
export const badSettingsExitCode = 78;

/** Reads INI files according to a schema and reports all errors of a file at once. */
export class SettingsReader<Shape extends Schema> {
  public constructor(private readonly schema: Shape) {}

  /**
   * Reads the content of a file.
   *
   * @param file Name of the file, for messages only.
   */
  public read(file: string, content: string): Either<InvalidInputError, Settings<Shape>> {
    const iniFile = new IniFile(file, content);
    const problems = [...iniFile.problems];
    iniFile.sections.forEach((section) => problems.push(...this.checkSection(file, section)));
    const values = Object.fromEntries(
      Object.entries(this.schema).map(([kind, { type, fields }]) => {
        const sections = iniFile.sections.filter((section) => section.kind === kind);
        if (type === 'named') return [kind, this.readNamed(file, sections, fields, problems)];
        const section = sections[0] ?? { kind, name: '', heading: kind, values: new Map() };
        return [
          kind,
          readFields(`${file}: section [${section.heading}]`, section.values, fields, problems),
        ];
      }),
    );
    if (problems.length > 0) {
      return left(new InvalidInputError(problems, { step: 'settings.read' }));
    }
    return right(values as Settings<Shape>);
  }

  private checkSection(file: string, { kind, name, heading }: IniSection): string[] {
    const sectionSchema = Object.hasOwn(this.schema, kind) ? this.schema[kind] : undefined;
    const location = `${file}: section [${heading}]`;
    if (sectionSchema === undefined)
      return [`${location} is unknown; allowed: ${this.describeSections()}`];
    if (sectionSchema.type === 'named' && name === '')
      return [`${location} needs a name: [${kind} NAME]`];
    if (sectionSchema.type === 'single' && name !== '')
      return [`${location} takes no name; allowed: [${kind}]`];
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
      sections.map((section) => [
        section.name,
        readFields(`${file}: section [${section.heading}]`, section.values, fields, problems),
      ]),
    );
  }
}
