import { Command } from 'clipanion';
import { documentSchemas, formatDocument, nameOf } from '../documentSchemas.js';
import type { AnyDocument, DocumentKind } from '../documentSchemas.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';
import { formatTable } from '../table.js';

/** Lists services, routes, accounts or presets. */
export class DocumentListCommand extends OperatorCommand {
  public static override paths = ['service', 'route', 'account', 'preset'].map((kind) => [
    kind,
    'list',
  ]);

  public static override usage = Command.Usage({
    category: 'Configuration',
    description: 'list services, routes, accounts or presets',
    details: 'The preset in force is marked with a star.',
    examples: [['List the services', '$0 service list']],
  });

  protected override async run(): Promise<ExitCode> {
    const kind = this.path[0] as DocumentKind;
    const { configuration } = await (await this.openEditor()).read();
    const schema = documentSchemas[kind];
    const documents: readonly AnyDocument[] = configuration[schema.collection];
    const keys = Object.keys(schema.fields);
    const rows = documents.map((document) => {
      const values = formatDocument(document, schema);
      const mark = kind === 'preset' && nameOf(document) === configuration.preset ? '*' : '';
      return [`${nameOf(document)}${mark}`, ...keys.map((key) => values.get(key) ?? '-')];
    });
    this.write(documents, formatTable([kind, ...keys], rows));
    return exitCodes.done;
  }
}
