import { Command, Option } from 'clipanion';
import { documentForms, formatDocument } from '../documentForms.js';
import type { DocumentNoun } from '../documentForms.js';
import { findDocument } from '../edits.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';

/** Shows a service, a route or an account. */
export class DocumentShowCommand extends OperatorCommand {
  public static override paths = ['service', 'route', 'account'].map((noun) => [noun, 'show']);

  public static override usage = Command.Usage({
    category: 'Configuration',
    description: 'show a service, a route or an account',
    examples: [['Show a service', '$0 service show pujas']],
  });

  public name = Option.String();

  protected override async run(): Promise<ExitCode> {
    const noun = this.path[0] as DocumentNoun;
    const { configuration } = await (await this.openEditor()).read();
    const document = findDocument(configuration, noun, this.name);
    if (document === undefined) {
      const message = `there is no ${noun} ${this.name}`;
      return this.refuse({ exitCode: exitCodes.notFound, message });
    }
    const lines = [...formatDocument(document, documentForms[noun])].map(
      ([key, value]) => `${key} = ${value}`,
    );
    this.write(document, [`[${noun} ${this.name}]`, ...lines]);
    return exitCodes.done;
  }
}
