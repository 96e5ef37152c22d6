const notPrintable = /[^\x20-\x7e]/g;
const hexRadix = 16;
const escapeLength = 4;

/**
 * Replaces each code unit that is not printable ASCII by `\uXXXX`, since header values cannot hold it. JSON keeps its
 * meaning.
 */
export function escapeNonAscii(text: string): string {
  return text.replace(notPrintable, (unit) => {
    const code = unit.charCodeAt(0).toString(hexRadix).padStart(escapeLength, '0');
    return `\\u${code}`;
  });
}
