import { InvalidInputError } from '../common/base/index.js';

/** A settings or configuration file cannot be read or is invalid. */
export class BadFileError extends InvalidInputError {
  public constructor(problems: readonly string[]) {
    super(problems, { step: 'cli.file' });
  }
}
