#!/usr/bin/env node
import { writeFile } from 'node:fs/promises';
import { consola } from 'consola';
import { scenarios } from './scenarios.js';
import type { Figure, Row } from './Types.js';

const seeds = [11, 23, 37, 41, 59];
const reportFile = 'bench-report.json';

function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toPrecision(4);
}

function formatFigure(figure: Figure): string {
  const spread = `${formatNumber(figure.lowest)}..${formatNumber(figure.highest)}`;
  return `    ${figure.policy.padEnd(28)} ${formatNumber(figure.median).padStart(10)}  ${spread}  (${figure.runs} runs)`;
}

function formatRow(row: Row): string {
  const verdict = row.isMet === undefined ? '' : ` -> ${row.isMet ? 'met' : 'NOT MET'}`;
  const goal = row.goal === '' ? '' : `  goal: ${row.goal}${verdict}`;
  const lines = [`  ${row.measure} [${row.unit}]${goal}`, ...row.figures.map(formatFigure)];
  if (row.notMeasured !== undefined) lines.push(`    not measured: ${row.notMeasured}`);
  return lines.join('\n');
}

async function main(): Promise<void> {
  const chosen = process.argv.slice(2);
  const report: Record<string, readonly Row[]> = {};
  for (const scenario of scenarios) {
    if (chosen.length > 0 && !chosen.includes(scenario.name)) continue;
    const rows = await scenario.run(seeds);
    report[scenario.name] = rows;
    consola.log(
      [`${scenario.name} (seeds ${seeds.join(', ')})`, ...rows.map(formatRow)].join('\n'),
    );
  }
  await writeFile(reportFile, `${JSON.stringify(report, null, 2)}\n`);
  consola.log(`report written to ${reportFile}`);
}

await main();
