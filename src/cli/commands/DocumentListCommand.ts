import { Command } from 'clipanion';
import { documentForms, formatDocument, nameOf } from '../documentForms.js';
import type { AnyDocument, DocumentNoun } from '../documentForms.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';
import { formatTable } from '../table.js';

/** Lists services, routes, accounts or presets. */
export class DocumentListCommand extends OperatorCommand {
  public static override paths = ['service', 'route', 'account', 'preset'].map((noun) => [
    noun,
    'list',
  ]);

  public static override usage = Command.Usage({
    category: 'Configuration',
    description: 'list services, routes, accounts or presets',
    details: 'The preset in force is marked with a star.',
    examples: [['List the services', '$0 service list']],
  });

  protected override async run(): Promise<ExitCode> {
    const noun = this.path[0] as DocumentNoun;
    const { configuration } = await (await this.openEditor()).read();
    const form = documentForms[noun];
    const documents: readonly AnyDocument[] = configuration[form.collection];
    const keys = Object.keys(form.fields);
    const rows = documents.map((document) => {
      const values = formatDocument(document, form);
      const mark = noun === 'preset' && nameOf(document) === configuration.preset ? '*' : '';
      return [`${nameOf(document)}${mark}`, ...keys.map((key) => values.get(key) ?? '-')];
    });
    this.write(documents, formatTable([noun, ...keys], rows));
    return exitCodes.done;
  }
}
