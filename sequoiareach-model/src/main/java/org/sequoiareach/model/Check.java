package org.sequoiareach.model;

/** Precondition checks for the arguments of public methods and constructors. */
public final class Check {

  private Check() {}

  /**
   * Requires text that is neither null nor blank.
   *
   * @param text the text to check
   * @param name the name of the argument, for the exception message
   * @return the text
   * @throws IllegalArgumentException if the text is null or blank
   */
  public static String hasText(String text, String name) {
    if (text == null || text.isBlank()) {
      throw new IllegalArgumentException("'" + name + "' must not be empty.");
    }
    return text;
  }

  /**
   * Requires a value that is not null.
   *
   * @param value the value to check
   * @param name the name of the argument, for the exception message
   * @param <T> the type of the value
   * @return the value
   * @throws IllegalArgumentException if the value is null
   */
  public static <T> T notNull(T value, String name) {
    if (value == null) {
      throw new IllegalArgumentException("'" + name + "' must not be null.");
    }
    return value;
  }

  /**
   * Requires a condition to hold.
   *
   * @param condition the condition
   * @param message the exception message if it does not hold
   * @throws IllegalArgumentException if the condition is false
   */
  public static void isTrue(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }

  /**
   * Requires a value within a closed range.
   *
   * @param value the value to check
   * @param least the smallest permitted value
   * @param most the greatest permitted value
   * @param name the name of the argument, for the exception message
   * @return the value
   * @throws IllegalArgumentException if the value is outside the range
   */
  public static long inRange(long value, long least, long most, String name) {
    if (value < least || value > most) {
      throw new IllegalArgumentException(
          "'" + name + "' is " + value + " and must be from " + least + " to " + most + ".");
    }
    return value;
  }
}
