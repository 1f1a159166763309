package org.oakwalk.scenario;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Counts what an object keeps, through all fields of our own classes: how many entries there are in
 * the collections of each field.
 */
final class Census {
  private static final String OURS = "org.oakwalk.";

  private record Reached(String by, Object object) {}

  private final Map<String, Integer> entries = new TreeMap<>();
  private final Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Deque<Reached> next = new ArrayDeque<>();

  private Census() {}

  /** How many entries each field's collections have together, by class and field. */
  static Map<String, Integer> of(Object root) throws IllegalAccessException {
    Census census = new Census();
    census.reach("", root);
    while (!census.next.isEmpty()) {
      Reached reached = census.next.poll();
      census.look(reached.by(), reached.object());
    }
    return census.entries;
  }

  /** The value of a field, whoever may see it. */
  static Object field(Object of, String name) throws ReflectiveOperationException {
    Field field = of.getClass().getDeclaredField(name);
    field.setAccessible(true);
    return field.get(of);
  }

  /** What a method without parameters returns, whoever may call it. */
  static Object call(Object on, String name) throws ReflectiveOperationException {
    Method method = on.getClass().getDeclaredMethod(name);
    method.setAccessible(true);
    return method.invoke(on);
  }

  private void reach(String by, Object object) {
    if (object != null && seen.add(object)) {
      next.add(new Reached(by, object));
    }
  }

  private void look(String by, Object object) throws IllegalAccessException {
    if (object instanceof Collection<?> collection) {
      entries.merge(by, collection.size(), Integer::sum);
      collection.forEach(each -> reach(by, each));
    } else if (object instanceof Map<?, ?> map) {
      entries.merge(by, map.size(), Integer::sum);
      map.keySet().forEach(key -> reach(by, key));
      map.values().forEach(value -> reach(by, value));
    } else if (object instanceof Optional<?> optional) {
      optional.ifPresent(value -> reach(by, value));
    } else if (object.getClass().isArray() && !object.getClass().componentType().isPrimitive()) {
      for (int i = 0; i < Array.getLength(object); i++) {
        reach(by, Array.get(object, i));
      }
    } else if (object.getClass().getName().startsWith(OURS) && !(object instanceof Enum)) {
      for (Class<?> type = object.getClass(); type != null; type = type.getSuperclass()) {
        for (Field field : type.getDeclaredFields()) {
          if (!Modifier.isStatic(field.getModifiers()) && !field.getType().isPrimitive()) {
            field.setAccessible(true);
            reach(type.getSimpleName() + "." + field.getName(), field.get(object));
          }
        }
      }
    }
  }
}
