import * as z from 'zod';

import EntryCounts from '@guavayard/core/objectives/EntryCounts';
import VmStatus from '@guavayard/core/types/VmStatus';

/** Number that the requesting VM uses to match a report to its request. */
const QuestionId = z.int().min(0);

/** Messages by which a control VM gathers reports for operators, always on request. */
const reportMessages = [
  z.strictObject({ kind: z.literal('status-request'), question: QuestionId }),
  z.strictObject({ kind: z.literal('status-report'), question: QuestionId, status: VmStatus }),
  z.strictObject({ kind: z.literal('counts-request'), question: QuestionId }),
  z.strictObject({ kind: z.literal('counts-report'), question: QuestionId, counts: EntryCounts }),
] as const;

export default reportMessages;
