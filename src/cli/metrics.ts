/** One sample of the Prometheus text format. */
export interface Sample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  /** Text of the number; can be `NaN` or `+Inf`. */
  readonly value: string;
}

const samplePattern = /^(?<name>[a-zA-Z_:][\w:]*)(?:\{(?<labels>.*)\})?\s+(?<value>\S+)/;
const labelPattern = /(?<label>\w+)="(?<content>(?:[^"\\]|\\.)*)"/g;

function parseLabels(text: string): Record<string, string> {
  return Object.fromEntries(
    [...text.matchAll(labelPattern)].map(({ groups }) => [
      groups?.label ?? '',
      groups?.content ?? '',
    ]),
  );
}

/** Parses the Prometheus text format; ignores comments. */
export function parseMetrics(text: string): Sample[] {
  return text
    .split('\n')
    .map((line) => samplePattern.exec(line)?.groups)
    .filter((groups) => groups !== undefined)
    .map(({ name = '', labels = '', value = '' }) => ({
      name,
      labels: parseLabels(labels),
      value,
    }));
}
