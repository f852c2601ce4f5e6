import type AnswerHeaders from '../dispatch/AnswerHeaders';

/**
 * @param headers - headers of a response
 * @returns whether its sender closes the connection after it
 */
export default function closesConnection({ connection }: AnswerHeaders): boolean {
  return (connection ?? '').toString().toLowerCase().split(',')
    .some((option) => option.trim() === 'close');
}
