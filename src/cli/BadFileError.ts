import { InvalidInputError } from '../common/base/index.js';

/** A file of settings or configuration cannot be read or is wrong. */
export class BadFileError extends InvalidInputError {
  public constructor(problems: readonly string[]) {
    super(problems, { step: 'cli.file' });
  }
}
