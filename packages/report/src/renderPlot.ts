import burnAlertRules from '@guavayard/core/objectives/burnAlertRules';
import type BurnReport from '@guavayard/core/objectives/BurnReport';

import escapeHtml from './escapeHtml';

type ObjectiveBurn = BurnReport['services'][number]['burns'][number];

/** Size of the drawing in its own units; the page scales it to the width of the screen. */
const WIDTH = 400;
const HEIGHT = 190;
const LEFT = 38;
const RIGHT = 8;
const TOP = 8;
const BOTTOM = 24;
/** The axis of burn rates is logarithmic, from a hundredth to a thousand. */
const MIN_EXPONENT = -2;
const MAX_EXPONENT = 3;
const HOURS = 6;

function placeX(index: number, steps: number): number {
  return LEFT + (index / Math.max(steps - 1, 1)) * (WIDTH - LEFT - RIGHT);
}

function placeY(rate: number): number {
  const exponent = Math.log10(Math.max(rate, 10 ** MIN_EXPONENT));
  const height = Math.min((exponent - MIN_EXPONENT) / (MAX_EXPONENT - MIN_EXPONENT), 1);
  return HEIGHT - BOTTOM - height * (HEIGHT - TOP - BOTTOM);
}

function drawGrid(): string {
  const exponents = Array.from(
    { length: MAX_EXPONENT - MIN_EXPONENT + 1 },
    (_, index) => MIN_EXPONENT + index,
  );
  return exponents.map((exponent) => {
    const y = placeY(10 ** exponent).toFixed(1);
    return `<line class="grid" x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${y}" y2="${y}"/>`
      + `<text class="tick" x="${LEFT - 4}" y="${y}" dy="4" text-anchor="end">${10 ** exponent}</text>`;
  }).join('');
}

function drawThresholds(): string {
  return burnAlertRules.map(({ burnRate, severity }) => {
    const y = placeY(burnRate).toFixed(1);
    return `<line class="threshold ${severity}" x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${y}" y2="${y}"/>`;
  }).join('');
}

function drawHours(): string {
  return Array.from({ length: HOURS + 1 }, (_, hour) => {
    const x = placeX(hour, HOURS + 1).toFixed(1);
    const label = hour === HOURS ? 'now' : `-${HOURS - hour} h`;
    const anchor = hour === HOURS ? 'end' : 'middle';
    return `<text class="tick" x="${x}" y="${HEIGHT - 6}" text-anchor="${anchor}">${label}</text>`;
  }).join('');
}

function drawLine(burn: ObjectiveBurn): string {
  const points = burn.series
    .map((rate, index) => `${placeX(index, burn.series.length).toFixed(1)},${placeY(rate).toFixed(1)}`)
    .join(' ');
  return `<polyline class="line ${burn.objective}" points="${points}"/>`;
}

/**
 * Draws the burn rates of one service over the last 6 hours.
 *
 * @param title - what the drawing shows, for screen readers
 * @param burns - the objectives of the service
 * @returns SVG markup
 */
export default function renderPlot(title: string, burns: readonly ObjectiveBurn[]): string {
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escapeHtml(title)}">`
    + `${drawGrid()}${drawThresholds()}${drawHours()}${burns.map(drawLine).join('')}</svg>`;
}
