/** Formats rows as lines of left-aligned columns, each as wide as its widest cell. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  return [header, ...rows].map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
