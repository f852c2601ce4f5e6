import measureControl from './capacity/measureControl';
import measureDecisions from './capacity/measureDecisions';
import measureEntry from './capacity/measureEntry';
import type CapacityFigure from './capacity/CapacityFigure';

const NAME_WIDTH = 66;
const DIGITS = 3;

function print({ name, value, unit }: CapacityFigure): void {
  process.stdout.write(`${name.padEnd(NAME_WIDTH)}${Number(value.toPrecision(DIGITS))} ${unit}\n`);
}

async function main(): Promise<void> {
  measureDecisions().forEach(print);
  (await measureControl()).forEach(print);
  (await measureEntry()).forEach(print);
}

main().catch((err: Error) => {
  process.stderr.write(`${err.stack}\n`);
  process.exitCode = 1;
});
