import { parse } from 'ini';

/** Section of an INI file with unparsed values. */
export interface IniSection {
  /** First word of the heading. */
  readonly kind: string;
  /** Rest of the heading; empty if there is none. */
  readonly name: string;
  readonly heading: string;
  readonly values: ReadonlyMap<string, string>;
}

const headingPattern = /^\s*\[(?<heading>[^\]]*)\]\s*$/;

/** INI file split into sections. Also reports malformed lines that the `ini` library accepts silently. */
export class IniFile {
  public readonly sections: readonly IniSection[];

  /** Errors in lines that the library ignores or overrides, each with its line number. */
  public readonly problems: readonly string[];

  public constructor(
    public readonly file: string,
    content: string,
  ) {
    this.problems = this.findProblems(content);
    const escaped = content
      .split(/\r?\n/)
      // A line without `=` is reported by `findProblems`; the library would read it as `true`.
      .filter((line) => line.includes('=') || headingPattern.test(line))
      // The library interprets a dot in a heading as nesting.
      .map((line) => (headingPattern.test(line) ? line.replace(/\./g, '\\.') : line))
      .join('\n');
    this.sections = Object.entries(parse(escaped)).flatMap(([heading, values]) =>
      typeof values === 'object' && values !== null
        ? [IniFile.toSection(heading, values as Record<string, unknown>)]
        : [],
    );
  }

  private static toSection(heading: string, values: Record<string, unknown>): IniSection {
    const words = heading.trim().split(/\s+/);
    return {
      kind: words[0] ?? '',
      name: words.slice(1).join(' '),
      heading,
      values: new Map(Object.entries(values).map(([key, value]) => [key, String(value).trim()])),
    };
  }

  private findProblems(content: string): string[] {
    const problems: string[] = [];
    const seen = new Set<string>();
    let heading: string | undefined;
    content.split(/\r?\n/).forEach((line, index) => {
      const addProblem = (problem: string): number =>
        problems.push(`${this.file}:${index + 1}: ${problem}`);
      if (/^\s*(?:[;#].*)?$/.test(line)) return;
      const section = headingPattern.exec(line)?.groups?.heading;
      if (section !== undefined) {
        heading = section;
        if (seen.has(`[${section}]`)) addProblem(`section [${section}] is given twice`);
        seen.add(`[${section}]`);
        return;
      }
      const key = /^(?<key>[^=]+)=/.exec(line)?.groups?.key?.trim();
      if (key === undefined) addProblem(`"${line.trim()}" is neither a section nor key = value`);
      else if (heading === undefined) addProblem(`key "${key}" stands before the first section`);
      else if (seen.has(`${heading}\n${key}`)) addProblem(`key "${key}" is given twice`);
      seen.add(`${heading}\n${key}`);
    });
    return problems;
  }
}
