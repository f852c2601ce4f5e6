import burnAlertRules from '@guavayard/core/objectives/burnAlertRules';
import type BurnReport from '@guavayard/core/objectives/BurnReport';

import escapeHtml from './escapeHtml';

type ObjectiveBurn = BurnReport['services'][number]['burns'][number];

/** Size of the drawing in SVG units; the page scales it to the available width. */
const WIDTH = 400;
const HEIGHT = 190;
const LEFT = 38;
const RIGHT = 8;
const TOP = 8;
const BOTTOM = 24;
/** Exponents of ten at the ends of the logarithmic burn rate axis, from 0.01 to 1000. */
const MIN_EXPONENT = -2;
const MAX_EXPONENT = 3;
const HOURS = 6;

function scaleX(index: number, steps: number): number {
  return LEFT + (index / Math.max(steps - 1, 1)) * (WIDTH - LEFT - RIGHT);
}

function scaleY(rate: number): number {
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
    const y = scaleY(10 ** exponent).toFixed(1);
    return `<line class="grid" x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${y}" y2="${y}"/>`
      + `<text class="tick" x="${LEFT - 4}" y="${y}" dy="4" text-anchor="end">${10 ** exponent}</text>`;
  }).join('');
}

function drawThresholds(): string {
  return burnAlertRules.map(({ burnRate, severity }) => {
    const y = scaleY(burnRate).toFixed(1);
    return `<line class="threshold ${severity}" x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${y}" y2="${y}"/>`;
  }).join('');
}

function drawHours(): string {
  return Array.from({ length: HOURS + 1 }, (_, hour) => {
    const x = scaleX(hour, HOURS + 1).toFixed(1);
    const label = hour === HOURS ? 'now' : `-${HOURS - hour} h`;
    const anchor = hour === HOURS ? 'end' : 'middle';
    return `<text class="tick" x="${x}" y="${HEIGHT - 6}" text-anchor="${anchor}">${label}</text>`;
  }).join('');
}

function drawLine(burn: ObjectiveBurn): string {
  const points = burn.series
    .map((rate, index) => `${scaleX(index, burn.series.length).toFixed(1)},${scaleY(rate).toFixed(1)}`)
    .join(' ');
  return `<polyline class="line ${burn.objective}" points="${points}"/>`;
}

/**
 * Plots the burn rates of one service over the last 6 hours.
 *
 * @param title - description of the plot for screen readers
 * @param burns - burn rates of the service's objectives
 * @returns SVG markup
 */
export default function renderPlot(title: string, burns: readonly ObjectiveBurn[]): string {
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escapeHtml(title)}">`
    + `${drawGrid()}${drawThresholds()}${drawHours()}${burns.map(drawLine).join('')}</svg>`;
}
