import { Command, Option } from 'clipanion';
import { documentSchemas, formatDocument } from '../documentSchemas.js';
import type { DocumentKind } from '../documentSchemas.js';
import { findDocument } from '../edits.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';

/** Shows a service, a route or an account. */
export class DocumentShowCommand extends OperatorCommand {
  public static override paths = ['service', 'route', 'account'].map((kind) => [kind, 'show']);

  public static override usage = Command.Usage({
    category: 'Configuration',
    description: 'show a service, a route or an account',
    examples: [['Show a service', '$0 service show pujas']],
  });

  public name = Option.String();

  protected override async run(): Promise<ExitCode> {
    const kind = this.path[0] as DocumentKind;
    const { configuration } = await (await this.openEditor()).read();
    const document = findDocument(configuration, kind, this.name);
    if (document === undefined) {
      const message = `there is no ${kind} ${this.name}`;
      return this.refuse({ exitCode: exitCodes.notFound, message });
    }
    const lines = [...formatDocument(document, documentSchemas[kind])].map(
      ([key, value]) => `${key} = ${value}`,
    );
    this.write(document, [`[${kind} ${this.name}]`, ...lines]);
    return exitCodes.done;
  }
}
