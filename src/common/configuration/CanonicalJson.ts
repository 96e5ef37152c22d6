/** Encodes JSON with sorted keys and without undefined values, so that equal documents have equal digests. */
export function toCanonicalJson(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(toCanonicalJson).join(',')}]`;
  if (value === null || typeof value !== 'object') return JSON.stringify(value ?? null);
  const fields = Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([name, field]) => `${JSON.stringify(name)}:${toCanonicalJson(field)}`);
  return `{${fields.join(',')}}`;
}
